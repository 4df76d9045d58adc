#ifndef CYCLAMENWALK_CORE_INTERNAL_TIMERTABLE_H
#define CYCLAMENWALK_CORE_INTERNAL_TIMERTABLE_H

#include "core/itimerservice.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cyclamenwalk {

/// Subscriptions in the order in which they are due. Not thread-safe.
class TimerTable {
public:
  /// Adds a subscription; \p Period zero means that it is called once.
  TimerId add(TimePoint At, Duration Period, ITimerService::Callback Due);

  void cancel(TimerId Id);

  std::optional<TimePoint> nextDue() const;

  /// Calls the earliest subscription if it is due by \p Now.
  bool runOneDue(TimePoint Now);

private:
  struct Entry {
    Duration m_Period;
    ITimerService::Callback m_Due;
  };
  using Key = std::pair<TimePoint, TimerId>;

  std::map<Key, Entry> m_Entries;
  std::unordered_map<TimerId, TimePoint> m_DueById;
  TimerId m_LastId = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_INTERNAL_TIMERTABLE_H
