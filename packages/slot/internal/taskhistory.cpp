#include "slot/internal/taskhistory.h"

namespace cyclamenwalk {

void TaskHistory::add(TaskId Task, TimePoint Now) {
  removeExpired(Now);
  m_Tasks.insert(Task);
  m_StartTimes.emplace_back(Now, Task);
}

bool TaskHistory::contains(TaskId Task) const {
  return m_Tasks.count(Task) > 0;
}

void TaskHistory::removeExpired(TimePoint Now) {
  while (!m_StartTimes.empty() &&
         Now - m_StartTimes.front().first > m_Retention) {
    m_Tasks.erase(m_StartTimes.front().second);
    m_StartTimes.pop_front();
  }
}

} // namespace cyclamenwalk
