#include "agent/internal/backendcodec.h"

#include "core/error.h"
#include "settings/inireader.h"
#include "json/boundedjson.h"

#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr int HttpOk = 200;
constexpr std::uint32_t MaxSlots = 4096;
constexpr std::uint64_t BytesInMegabyte = 1024ULL * 1024;
/// Error messages quote no more of a wrong value.
constexpr std::size_t MaxQuotedLength = 60;

[[noreturn]] void failMalformed(const std::string &Detail) {
  throw Error(ResultCode::MalformedBody, Detail);
}

/// Escapes non-ASCII characters, so that truncation leaves valid UTF-8.
std::string quote(const Json &Value) {
  return Value.dump(-1, ' ', true).substr(0, MaxQuotedLength);
}

std::uint32_t readCount(const Json &Object, const char *Name,
                        std::uint32_t Default) {
  if (!Object.contains(Name))
    return Default;
  const Json &Value = Object.at(Name);
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > UINT32_MAX)
    failMalformed(std::string(Name) + " is " + quote(Value) +
                  ", expected a whole number from 0 to " +
                  std::to_string(UINT32_MAX));
  return Value.get<std::uint32_t>();
}

BackendOffer readOffer(const Json &Object) {
  BackendOffer Offer;
  Offer.m_Service = Object.at("service").get<std::string>();
  Offer.m_Address = Object.at("address").get<std::string>();
  Offer.m_Instance = Object.at("run").get<std::string>();
  Offer.m_Slots = readCount(Object, "slots", 0);
  Offer.m_Connections = readCount(Object, "connections", 0);
  Offer.m_Cpus = readCount(Object, "cpus", 0);
  Offer.m_MemoryBytes = readCount(Object, "memory_mb", 0) * BytesInMegabyte;
  if (!isName(Offer.m_Service))
    failMalformed("service is " + quote(Offer.m_Service) +
                  ", expected 1 to 63 letters, digits, '-' and '.'");
  if (!isAddress(Offer.m_Address))
    failMalformed("address is " + quote(Offer.m_Address) +
                  ", expected IP:PORT");
  if (Offer.m_Slots == 0 || Offer.m_Slots > MaxSlots)
    failMalformed("slots is " + std::to_string(Offer.m_Slots) +
                  ", expected 1 to " + std::to_string(MaxSlots));
  return Offer;
}

} // namespace

BackendOffer decodeOffer(const std::string &Body) {
  try {
    return readOffer(parseJson(Body));
  } catch (const Json::exception &Caught) {
    failMalformed(Caught.what());
  }
}

std::string encodeExecution(const ExecutionRequest &Request) {
  // The payload is a JSON text already and is inserted unchanged.
  return "{\"task\":" + Json(toString(Request.m_Task)).dump() +
         ",\"kind\":" + Json(Request.m_Kind).dump() + ",\"timeout_ms\":" +
         std::to_string(toMilliseconds(Request.m_Timeout)) +
         ",\"payload\":" + Request.m_Payload + "}";
}

ExecutionResult decodeExecution(const HttpResponse &Response) {
  // Without a response it is unknown whether the task ran.
  if (Response.m_Status == 0)
    return {ResultCode::BackendLost, "", Response.m_WasSent};
  if (Response.m_Status != HttpOk)
    return {ResultCode::TaskFailed, ""};
  Json Body = Json::parse(Response.m_Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("result"))
    return {ResultCode::TaskFailed, ""};
  return {ResultCode::Ok,
          Body["result"].dump(-1, ' ', false, Json::error_handler_t::replace)};
}

std::string encodeTextMember(const std::string &Name,
                             const std::string &Value) {
  return Json{{Name, Value}}.dump(-1, ' ', false,
                                  Json::error_handler_t::replace);
}

} // namespace cyclamenwalk
