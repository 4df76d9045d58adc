#ifndef CYCLAMENWALK_CORE_TYPES_DURATIONTEXT_H
#define CYCLAMENWALK_CORE_TYPES_DURATIONTEXT_H

#include "core/types/decimal.h"
#include "core/types/time.h"

namespace cyclamenwalk {

/// Reads a number with a unit (us, ms, s, min), such as "4.5s", rounded down to
/// a whole nanosecond, so that no limit becomes longer than stated. Nothing if
/// \p Text is anything else, or longer than a Duration can be.
std::optional<Duration> parseDuration(std::string_view Text);

/// Reads a number of milliseconds without a unit, rounded down likewise.
std::optional<Duration> parseMilliseconds(std::string_view Text);

/// The shortest exact text in seconds, or in milliseconds or microseconds for
/// what is shorter than one of the larger unit; parseDuration() reads it back.
/// \p Span must not be negative.
std::string formatDuration(Duration Span);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_DURATIONTEXT_H
