#include "agent/internal/backendcodec.h"

#include "core/error.h"
#include "settings/inireader.h"

#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr int HttpOk = 200;
constexpr std::uint32_t MaxSlots = 4096;
constexpr std::uint64_t BytesInMegabyte = 1024ULL * 1024;

[[noreturn]] void failMalformed(const std::string &Detail) {
  throw Error(ResultCode::MalformedBody, Detail);
}

std::uint32_t readCount(const Json &From, const char *Name,
                        std::uint32_t Default) {
  if (!From.contains(Name))
    return Default;
  const Json &Value = From.at(Name);
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > UINT32_MAX)
    failMalformed(std::string(Name) + " is not a whole number in range");
  return Value.get<std::uint32_t>();
}

BackendOffer readOffer(const Json &From) {
  BackendOffer Offer;
  Offer.m_Service = From.at("service").get<std::string>();
  Offer.m_Address = From.at("address").get<std::string>();
  Offer.m_Run = From.at("run").get<std::string>();
  Offer.m_Slots = readCount(From, "slots", 0);
  Offer.m_Connections = readCount(From, "connections", 0);
  Offer.m_Cpus = readCount(From, "cpus", 0);
  Offer.m_MemoryBytes = readCount(From, "memory_mb", 0) * BytesInMegabyte;
  if (!isName(Offer.m_Service))
    failMalformed("service is not a name");
  if (!isAddress(Offer.m_Address))
    failMalformed("address is not IP:PORT");
  if (Offer.m_Slots == 0 || Offer.m_Slots > MaxSlots)
    failMalformed("slots is not from 1 to " + std::to_string(MaxSlots));
  return Offer;
}

} // namespace

BackendOffer decodeOffer(const std::string &Body) {
  try {
    return readOffer(Json::parse(Body));
  } catch (const Json::exception &Caught) {
    failMalformed(Caught.what());
  }
}

std::string encodeExecution(const ExecutionRequest &Request) {
  // The payload is a JSON text already and is put in as it is.
  return "{\"task\":" + Json(toString(Request.m_Task)).dump() +
         ",\"kind\":" + Json(Request.m_Kind).dump() + ",\"timeout_ms\":" +
         std::to_string(toMilliseconds(Request.m_Timeout)) +
         ",\"payload\":" + Request.m_Payload + "}";
}

ExecutionResult decodeExecution(const HttpResponse &Response) {
  // Without a response nobody knows whether the task ran.
  if (Response.m_Status == 0)
    return {ResultCode::BackendLost, ""};
  if (Response.m_Status != HttpOk)
    return {ResultCode::TaskFailed, ""};
  Json Body = Json::parse(Response.m_Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("result"))
    return {ResultCode::TaskFailed, ""};
  return {ResultCode::Ok,
          Body["result"].dump(-1, ' ', false, Json::error_handler_t::replace)};
}

std::string encodeText(const std::string &Name, const std::string &Value) {
  return Json{{Name, Value}}.dump();
}

} // namespace cyclamenwalk
