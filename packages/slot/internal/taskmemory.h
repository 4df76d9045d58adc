#ifndef CYCLAMENWALK_SLOT_INTERNAL_TASKMEMORY_H
#define CYCLAMENWALK_SLOT_INTERNAL_TASKMEMORY_H

#include "core/types/ids.h"
#include "core/types/time.h"

#include <deque>
#include <unordered_set>
#include <utility>

namespace cyclamenwalk {

/// The tasks that were started here, kept for a while after their start so
/// that a repeated start is never taken for a new one.
class TaskMemory {
public:
  explicit TaskMemory(Duration Span) : m_Span(Span) {}

  void add(TaskId Task, TimePoint Now);
  bool contains(TaskId Task) const;

private:
  void forgetOld(TimePoint Now);

  const Duration m_Span;
  std::unordered_set<TaskId> m_Tasks;
  std::deque<std::pair<TimePoint, TaskId>> m_Order;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_INTERNAL_TASKMEMORY_H
