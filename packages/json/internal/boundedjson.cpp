#include "json/boundedjson.h"

#include "core/error.h"

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

[[noreturn]] void failMalformed(const std::string &Detail) {
  throw Error(ResultCode::MalformedBody, Detail);
}

bool limitDepth(int Depth, Json::parse_event_t, const Json &) {
  if (Depth > MaxJsonDepth)
    failMalformed("the JSON is nested deeper than " +
                  std::to_string(MaxJsonDepth) + " levels");
  return true;
}

} // namespace

nlohmann::json parseJson(const std::string &Text) {
  try {
    return Json::parse(Text, limitDepth);
  } catch (const Json::exception &Caught) {
    failMalformed(Caught.what());
  }
}

std::optional<std::int64_t> toWholeNumber(const nlohmann::json &Value,
                                          std::int64_t Min, std::int64_t Max) {
  if (!Value.is_number())
    return std::nullopt;
  // Compared as a double first: the conversion of a larger one to an integer
  // is undefined.
  auto Approximate = Value.get<double>();
  bool IsInRange = Approximate >= static_cast<double>(Min) &&
                   Approximate <= static_cast<double>(Max);
  if (!IsInRange)
    return std::nullopt;
  auto Whole = Value.get<std::int64_t>();
  return Whole >= Min && Whole <= Max ? std::optional(Whole) : std::nullopt;
}

} // namespace cyclamenwalk
