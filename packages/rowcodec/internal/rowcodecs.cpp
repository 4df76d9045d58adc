#include "rowcodec/rowcodecs.h"

#include <ctime>
#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

Json toJson(const EntryAddress &Value) {
  return {{"name", Value.m_Name},
          {"incarnation", toString(Value.m_Incarnation)},
          {"address", Value.m_Address},
          {"http", Value.m_HttpAddress},
          {"failure_domain", Value.m_FailureDomain}};
}

EntryAddress toAddress(const Json &From) {
  EntryAddress Value;
  Value.m_Name = From.at("name");
  Value.m_Incarnation =
      parseIncarnation(From.at("incarnation").get<std::string>()).value();
  Value.m_Address = From.at("address");
  Value.m_HttpAddress = From.at("http");
  Value.m_FailureDomain = From.at("failure_domain");
  return Value;
}

/// Nothing when the text cannot be read.
template <typename T, typename Call>
std::optional<T> tryDecode(const std::string &Text, Call Read) {
  try {
    return Read(Json::parse(Text));
  } catch (const std::exception &) {
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

ConfigurationRecord toRecord(const Json &From) {
  ConfigurationRecord Value;
  Value.m_Version = From.at("version");
  Value.m_PreviousVersion = From.at("previous_version");
  Value.m_Digest = From.at("digest");
  Value.m_ApplyId = From.at("apply_id");
  Value.m_Operator = From.at("operator");
  Value.m_AcceptedAt = WallTime(
      std::chrono::seconds(From.at("accepted_at").get<std::int64_t>()));
  Value.m_Changes = From.at("changes").get<std::vector<std::string>>();
  return Value;
}

} // namespace

EntryRowCodec entryRowCodec() {
  auto Encode = [](const EntryRow &Value) {
    Json Body = toJson(Value.m_Address);
    Body["renewals"] = Value.m_Renewals;
    return Body.dump();
  };
  auto Decode = [](const std::string &Text) {
    return tryDecode<EntryRow>(Text, [](const Json &From) {
      return EntryRow{toAddress(From), From.at("renewals")};
    });
  };
  return {Encode, Decode};
}

RecordCodec configurationRecordCodec() {
  return {encodeRecord, [](const std::string &Text) {
            return tryDecode<ConfigurationRecord>(Text, toRecord);
          }};
}

ClaimRowCodec claimRowCodec() {
  auto Encode = [](const ClaimRow &Value) {
    return Json{{"job", toString(Value.m_Job)}}.dump();
  };
  auto Decode = [](const std::string &Text) {
    return tryDecode<ClaimRow>(Text, [](const Json &From) {
      return ClaimRow{parseJobId(From.at("job").get<std::string>()).value()};
    });
  };
  return {Encode, Decode};
}

std::vector<EntryAddress> decodeEntryRows(const ScanResult &Found) {
  std::vector<EntryAddress> Entries;
  for (const KeyedRow &Known : Found.m_Rows)
    if (auto Row = entryRowCodec().m_Decode(Known.m_Row.m_Value))
      Entries.push_back(Row->m_Address);
  return Entries;
}

std::string encodeEntries(const std::vector<EntryAddress> &Entries) {
  Json List = Json::array();
  for (const EntryAddress &Value : Entries)
    List.push_back(toJson(Value));
  return Json{{"entries", List}}.dump();
}

std::vector<EntryAddress> decodeEntries(const std::string &Body) {
  using Entries = std::vector<EntryAddress>;
  auto Read = [](const Json &From) {
    Entries Found;
    for (const Json &Item : From.at("entries"))
      Found.push_back(toAddress(Item));
    return Found;
  };
  return tryDecode<Entries>(Body, Read).value_or(Entries());
}

std::string toText(WallTime At) {
  std::time_t Seconds = std::chrono::system_clock::to_time_t(At);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text;
}

} // namespace cyclamenwalk
