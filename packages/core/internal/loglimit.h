#ifndef CYCLAMENWALK_CORE_INTERNAL_LOGLIMIT_H
#define CYCLAMENWALK_CORE_INTERNAL_LOGLIMIT_H

#include "core/types/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace cyclamenwalk {

/// Bounds the lines of each event to a number a second, and counts the rest.
/// Callable from any thread.
class LogLimit {
public:
  explicit LogLimit(std::uint32_t LinesPerSecond)
      : m_LinesPerSecond(LinesPerSecond) {}

  /// Whether a line of \p Event may be written at \p Now; \p LeftOut gets the
  /// number of lines left out in the second before, once it is over.
  bool admit(std::string_view Event, TimePoint Now, std::uint64_t &LeftOut);

private:
  struct Window {
    TimePoint m_Start;
    std::uint32_t m_Lines = 0;
    std::uint64_t m_LeftOut = 0;
  };

  const std::uint32_t m_LinesPerSecond;
  std::mutex m_Mutex;
  std::map<std::string, Window, std::less<>> m_Windows;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_INTERNAL_LOGLIMIT_H
