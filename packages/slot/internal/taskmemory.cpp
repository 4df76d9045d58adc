#include "slot/internal/taskmemory.h"

namespace cyclamenwalk {

void TaskMemory::add(TaskId Task, TimePoint Now) {
  forgetOld(Now);
  m_Tasks.insert(Task);
  m_Order.emplace_back(Now, Task);
}

bool TaskMemory::contains(TaskId Task) const { return m_Tasks.count(Task) > 0; }

void TaskMemory::forgetOld(TimePoint Now) {
  while (!m_Order.empty() && Now - m_Order.front().first > m_Span) {
    m_Tasks.erase(m_Order.front().second);
    m_Order.pop_front();
  }
}

} // namespace cyclamenwalk
