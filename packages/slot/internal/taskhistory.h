#ifndef CYCLAMENWALK_SLOT_INTERNAL_TASKHISTORY_H
#define CYCLAMENWALK_SLOT_INTERNAL_TASKHISTORY_H

#include "core/types/ids.h"
#include "core/types/time.h"

#include <deque>
#include <unordered_set>
#include <utility>

namespace cyclamenwalk {

/// The tasks that were started here recently; detects repeated start messages.
class TaskHistory {
public:
  explicit TaskHistory(Duration Retention) : m_Retention(Retention) {}

  void add(TaskId Task, TimePoint Now);
  bool contains(TaskId Task) const;

private:
  void removeExpired(TimePoint Now);

  const Duration m_Retention;
  std::unordered_set<TaskId> m_Tasks;
  /// Sorted by start time.
  std::deque<std::pair<TimePoint, TaskId>> m_StartTimes;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_INTERNAL_TASKHISTORY_H
