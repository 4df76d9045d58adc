#ifndef CYCLAMENWALK_CORE_TYPES_TIME_H
#define CYCLAMENWALK_CORE_TYPES_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace cyclamenwalk {

/// The clock of all decisions: monotonic, and also counts the time for which
/// the machine was suspended. Instants of two machines are never compared.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  // The standard library asks for this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    std::timespec Value{};
    clock_gettime(CLOCK_BOOTTIME, &Value);
    return time_point(std::chrono::seconds(Value.tv_sec) +
                      std::chrono::nanoseconds(Value.tv_nsec));
  }
};

using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// \p Span as a count of milliseconds, for display and encoding.
inline std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

/// \p Span times \p Factor.
inline Duration scaled(Duration Span, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Span.count()) * Factor));
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_TIME_H
