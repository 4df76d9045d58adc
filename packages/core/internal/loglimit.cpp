#include "core/internal/loglimit.h"

#include <utility>

namespace cyclamenwalk {

bool LogLimit::admit(std::string_view Event, TimePoint Now,
                     std::uint64_t &LeftOut) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto Found = m_Windows.find(Event);
  if (Found == m_Windows.end())
    Found = m_Windows.emplace(std::string(Event), Window{Now}).first;
  Window &Current = Found->second;
  LeftOut = 0;
  if (Now - Current.m_Start >= seconds(1)) {
    LeftOut = Current.m_LeftOut;
    Current = Window{Now};
  }
  if (Current.m_Lines >= m_LinesPerSecond) {
    ++Current.m_LeftOut;
    return false;
  }
  ++Current.m_Lines;
  return true;
}

} // namespace cyclamenwalk
