#include "core/internal/logratelimiter.h"

#include <utility>

namespace cyclamenwalk {

bool LogRateLimiter::tryAdmit(std::string_view Event, TimePoint Now,
                              std::uint64_t &Suppressed) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Windows.find(Event);
  if (It == m_Windows.end())
    It = m_Windows.emplace(std::string(Event), Window{Now}).first;
  Window &Current = It->second;
  Suppressed = 0;
  if (Now - Current.m_Start >= seconds(1)) {
    Suppressed = Current.m_Suppressed;
    Current = Window{Now};
  }
  if (Current.m_Lines >= m_MaxLinesPerSecond) {
    ++Current.m_Suppressed;
    return false;
  }
  ++Current.m_Lines;
  return true;
}

} // namespace cyclamenwalk
