#ifndef CYCLAMENWALK_CORE_INTERNAL_LOGRATELIMITER_H
#define CYCLAMENWALK_CORE_INTERNAL_LOGRATELIMITER_H

#include "core/types/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace cyclamenwalk {

/// Limits the log lines of each event per second and counts the suppressed
/// lines. Thread-safe.
class LogRateLimiter {
public:
  explicit LogRateLimiter(std::uint32_t MaxLinesPerSecond)
      : m_MaxLinesPerSecond(MaxLinesPerSecond) {}

  /// Returns whether a line of \p Event may be written at \p Now. The first
  /// call after a window of one second sets \p Suppressed to the number of
  /// lines suppressed in that window, other calls to zero.
  bool tryAdmit(std::string_view Event, TimePoint Now,
                std::uint64_t &Suppressed);

private:
  struct Window {
    TimePoint m_Start;
    std::uint32_t m_Lines = 0;
    std::uint64_t m_Suppressed = 0;
  };

  const std::uint32_t m_MaxLinesPerSecond;
  std::mutex m_Mutex;
  std::map<std::string, Window, std::less<>> m_Windows;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_INTERNAL_LOGRATELIMITER_H
