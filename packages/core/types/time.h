#ifndef CYCLAMENWALK_CORE_TYPES_TIME_H
#define CYCLAMENWALK_CORE_TYPES_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace cyclamenwalk {

/// Monotonic clock that also advances while the machine is suspended. Time
/// points of different machines are not comparable.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  // Required by the standard's Clock requirements.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    std::timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return time_point(std::chrono::seconds(Time.tv_sec) +
                      std::chrono::nanoseconds(Time.tv_nsec));
  }
};

using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts \p Span to whole milliseconds, for display and encoding.
inline std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

inline Duration scaled(Duration Span, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Span.count()) * Factor));
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_TIME_H
