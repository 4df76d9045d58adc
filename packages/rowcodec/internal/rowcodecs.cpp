#include "rowcodec/rowcodecs.h"

#include "core/error.h"
#include "core/log.h"
#include "settings/inireader.h"
#include "json/boundedjson.h"

#include <ctime>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t MaxMilliCores = 1'000'000;

Json encodeAddress(const EntryAddress &Value) {
  return {{"name", Value.m_Name},
          {"incarnation", toString(Value.m_Incarnation)},
          {"address", Value.m_Address},
          {"http", Value.m_HttpAddress},
          {"failure_domain", Value.m_FailureDomain},
          {"processor_millicores", Value.m_ProcessorMilliCores}};
}

EntryAddress decodeAddress(const Json &Object) {
  EntryAddress Value;
  Value.m_Name = Object.at("name");
  Value.m_Incarnation =
      parseIncarnation(Object.at("incarnation").get<std::string>()).value();
  Value.m_Address = Object.at("address");
  Value.m_HttpAddress = Object.at("http");
  Value.m_FailureDomain = Object.at("failure_domain");
  // Absent in rows of earlier releases.
  if (Object.contains("processor_millicores"))
    Value.m_ProcessorMilliCores = static_cast<std::uint32_t>(
        toWholeNumber(Object["processor_millicores"], 0, MaxMilliCores)
            .value_or(0));
  if (!isAddress(Value.m_Address))
    throw Error(ResultCode::BadAddress,
                "the address of entry \"" + Value.m_Name + "\" is not IP:PORT");
  return Value;
}

/// Nothing when \p Text is no JSON or \p Decode throws. Other programs may
/// write to the same tables.
template <typename T, typename Call>
std::optional<T> tryDecode(const std::string &Text, Call Decode) {
  try {
    return Decode(parseJson(Text));
  } catch (const std::exception &Caught) {
    logEvent(LogLevel::Warning, "row.malformed",
             {{"bytes", Text.size()}, {"detail", Caught.what()}});
    return std::nullopt;
  }
}

std::string encodeRecord(const ConfigurationRecord &Value) {
  auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(
      Value.m_AcceptedAt.time_since_epoch());
  return Json{{"version", Value.m_Version},
              {"previous_version", Value.m_PreviousVersion},
              {"digest", Value.m_Digest},
              {"apply_id", Value.m_ApplyId},
              {"operator", Value.m_Operator},
              {"accepted_at", Seconds.count()},
              {"changes", Value.m_Changes}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

ConfigurationRecord decodeRecord(const Json &Object) {
  ConfigurationRecord Value;
  Value.m_Version = Object.at("version");
  Value.m_PreviousVersion = Object.at("previous_version");
  Value.m_Digest = Object.at("digest");
  Value.m_ApplyId = Object.at("apply_id");
  Value.m_Operator = Object.at("operator");
  Value.m_AcceptedAt = WallTime(
      std::chrono::seconds(Object.at("accepted_at").get<std::int64_t>()));
  Value.m_Changes = Object.at("changes").get<std::vector<std::string>>();
  return Value;
}

} // namespace

EntryRowCodec entryRowCodec() {
  auto Encode = [](const EntryRow &Value) {
    Json Body = encodeAddress(Value.m_Address);
    Body["renewals"] = Value.m_Renewals;
    return Body.dump();
  };
  auto Decode = [](const std::string &Text) {
    return tryDecode<EntryRow>(Text, [](const Json &Object) {
      return EntryRow{decodeAddress(Object), Object.at("renewals")};
    });
  };
  return {Encode, Decode};
}

RecordCodec configurationRecordCodec() {
  return {encodeRecord, [](const std::string &Text) {
            return tryDecode<ConfigurationRecord>(Text, decodeRecord);
          }};
}

ClaimRowCodec claimRowCodec() {
  auto Encode = [](const ClaimRow &Value) {
    return Json{{"job", toString(Value.m_Job)}}.dump();
  };
  auto Decode = [](const std::string &Text) {
    return tryDecode<ClaimRow>(Text, [](const Json &Object) {
      return ClaimRow{parseJobId(Object.at("job").get<std::string>()).value()};
    });
  };
  return {Encode, Decode};
}

std::vector<EntryAddress> decodeEntryRows(const ScanResult &Scan) {
  std::vector<EntryAddress> Entries;
  for (const KeyedRow &Stored : Scan.m_Rows)
    if (auto Row = entryRowCodec().m_Decode(Stored.m_Row.m_Value))
      Entries.push_back(Row->m_Address);
  return Entries;
}

std::string encodeEntries(const std::vector<EntryAddress> &Entries) {
  Json List = Json::array();
  for (const EntryAddress &Entry : Entries)
    List.push_back(encodeAddress(Entry));
  return Json{{"entries", List}}.dump();
}

std::vector<EntryAddress> decodeEntries(const std::string &Body) {
  using Entries = std::vector<EntryAddress>;
  auto Decode = [](const Json &Object) {
    Entries Result;
    for (const Json &Item : Object.at("entries"))
      Result.push_back(decodeAddress(Item));
    return Result;
  };
  return tryDecode<Entries>(Body, Decode).value_or(Entries());
}

std::string formatRfc3339(WallTime Time) {
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Time);
  std::tm UtcTime{};
  gmtime_r(&Seconds, &UtcTime);
  char Text[32];
  std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%SZ", &UtcTime);
  return Text;
}

} // namespace cyclamenwalk
