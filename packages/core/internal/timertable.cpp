#include "core/internal/timertable.h"

namespace cyclamenwalk {

TimerId TimerTable::add(TimePoint DueTime, Duration Period,
                        ITimerService::Callback OnDue) {
  TimerId Id = ++m_LastId;
  m_Entries.emplace(Key(DueTime, Id), Entry{Period, std::move(OnDue)});
  m_DueTimeById.emplace(Id, DueTime);
  return Id;
}

void TimerTable::cancel(TimerId Id) {
  auto It = m_DueTimeById.find(Id);
  if (It == m_DueTimeById.end())
    return;
  m_Entries.erase(Key(It->second, Id));
  m_DueTimeById.erase(It);
}

std::optional<TimePoint> TimerTable::nextDueTime() const {
  if (m_Entries.empty())
    return std::nullopt;
  return m_Entries.begin()->first.first;
}

bool TimerTable::runNextDue(TimePoint Now) {
  if (m_Entries.empty() || m_Entries.begin()->first.first > Now)
    return false;
  auto Node = m_Entries.extract(m_Entries.begin());
  TimerId Id = Node.key().second;
  if (Node.mapped().m_Period == Duration::zero()) {
    m_DueTimeById.erase(Id);
    Node.mapped().m_OnDue();
    return true;
  }
  // Rescheduled before the call, so that the callback can cancel its own timer.
  TimePoint NextDueTime = Now + Node.mapped().m_Period;
  ITimerService::Callback OnDue = Node.mapped().m_OnDue;
  Node.key() = Key(NextDueTime, Id);
  m_Entries.insert(std::move(Node));
  m_DueTimeById[Id] = NextDueTime;
  OnDue();
  return true;
}

} // namespace cyclamenwalk
