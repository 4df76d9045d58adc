#include "core/internal/timertable.h"

namespace cyclamenwalk {

TimerId TimerTable::add(TimePoint At, Duration Period,
                        ITimerService::Callback Due) {
  TimerId Id = ++m_LastId;
  m_Entries.emplace(Key(At, Id), Entry{Period, std::move(Due)});
  m_DueById.emplace(Id, At);
  return Id;
}

void TimerTable::cancel(TimerId Id) {
  auto Known = m_DueById.find(Id);
  if (Known == m_DueById.end())
    return;
  m_Entries.erase(Key(Known->second, Id));
  m_DueById.erase(Known);
}

std::optional<TimePoint> TimerTable::nextDue() const {
  if (m_Entries.empty())
    return std::nullopt;
  return m_Entries.begin()->first.first;
}

bool TimerTable::runOneDue(TimePoint Now) {
  if (m_Entries.empty() || m_Entries.begin()->first.first > Now)
    return false;
  auto Node = m_Entries.extract(m_Entries.begin());
  TimerId Id = Node.key().second;
  if (Node.mapped().m_Period == Duration::zero()) {
    m_DueById.erase(Id);
    Node.mapped().m_Due();
    return true;
  }
  // Re-armed before the call, so that the callback can cancel itself.
  TimePoint Next = Now + Node.mapped().m_Period;
  ITimerService::Callback Due = Node.mapped().m_Due;
  Node.key() = Key(Next, Id);
  m_Entries.insert(std::move(Node));
  m_DueById[Id] = Next;
  Due();
  return true;
}

} // namespace cyclamenwalk
