#ifndef CYCLAMENWALK_JSON_BOUNDEDJSON_H
#define CYCLAMENWALK_JSON_BOUNDEDJSON_H

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cyclamenwalk {

/// Levels of arrays and objects that parseJson() accepts.
inline constexpr int MaxJsonDepth = 32;

/// Parses \p Text from another process. Throws Error with MalformedBody if it
/// is no JSON or nested deeper than MaxJsonDepth, which is found before the
/// deeper levels are read.
nlohmann::json parseJson(const std::string &Text);

/// The number \p Value without its fraction; nothing if it is no number or
/// outside of \p Min to \p Max.
std::optional<std::int64_t> toWholeNumber(const nlohmann::json &Value,
                                          std::int64_t Min, std::int64_t Max);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JSON_BOUNDEDJSON_H
