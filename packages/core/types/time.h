#ifndef CYCLAMENWALK_CORE_TYPES_TIME_H
#define CYCLAMENWALK_CORE_TYPES_TIME_H

#include <chrono>

namespace cyclamenwalk {

/// The clock of all decisions. Instants of two machines are never compared.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \p Span as a count of milliseconds, for display and encoding.
inline std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_TIME_H
