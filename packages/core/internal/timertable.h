#ifndef CYCLAMENWALK_CORE_INTERNAL_TIMERTABLE_H
#define CYCLAMENWALK_CORE_INTERNAL_TIMERTABLE_H

#include "core/itimerservice.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cyclamenwalk {

/// Active timers, ordered by due time. Not thread-safe.
class TimerTable {
public:
  /// Adds a timer that first fires at \p DueTime and then every \p Period, or
  /// only once when \p Period is zero.
  TimerId add(TimePoint DueTime, Duration Period,
              ITimerService::Callback OnDue);

  void cancel(TimerId Id);

  std::optional<TimePoint> nextDueTime() const;

  /// Calls the earliest timer if it is due by \p Now; false when none is due.
  bool runNextDue(TimePoint Now);

private:
  struct Entry {
    Duration m_Period;
    ITimerService::Callback m_OnDue;
  };
  using Key = std::pair<TimePoint, TimerId>;

  std::map<Key, Entry> m_Entries;
  std::unordered_map<TimerId, TimePoint> m_DueTimeById;
  TimerId m_LastId = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_INTERNAL_TIMERTABLE_H
