#include "request/internal/tickets.h"

namespace cyclamenwalk {

Tickets::Tickets(Incarnation Entry, RequestSettings Settings,
                 ITimerService &Timers)
    : m_Entry(Entry), m_Settings(Settings), m_Timers(Timers) {}

std::optional<TicketId> Tickets::issue() {
  removeExpired();
  if (m_Jobs.size() >= m_Settings.m_MaxTickets)
    return std::nullopt;
  std::uint64_t Sequence = ++m_LastSequence;
  m_Jobs.emplace(Sequence, std::nullopt);
  m_IssueOrder.push_back({Sequence, m_Timers.now()});
  return TicketId{m_Entry, Sequence};
}

bool Tickets::isUsed(TicketId Id) {
  removeExpired();
  auto It = m_Jobs.find(Id.m_Sequence);
  return Id.m_Entry == m_Entry && It != m_Jobs.end() && It->second;
}

bool Tickets::isValid(TicketId Id) {
  removeExpired();
  auto It = m_Jobs.find(Id.m_Sequence);
  return Id.m_Entry == m_Entry && It != m_Jobs.end() && !It->second;
}

void Tickets::use(TicketId Id, JobId Job) { m_Jobs[Id.m_Sequence] = Job; }

void Tickets::release(TicketId Id) {
  auto It = m_Jobs.find(Id.m_Sequence);
  if (It != m_Jobs.end())
    It->second.reset();
}

JobId Tickets::jobOf(TicketId Id) const {
  return m_Jobs.at(Id.m_Sequence).value();
}

/// An expired ticket is refused as unknown, so removing a used one cannot cause
/// a second run.
void Tickets::removeExpired() {
  while (!m_IssueOrder.empty() &&
         m_Timers.now() - m_IssueOrder.front().m_IssuedAt >
             m_Settings.m_TicketLifetime) {
    m_Jobs.erase(m_IssueOrder.front().m_Sequence);
    m_IssueOrder.pop_front();
  }
}

} // namespace cyclamenwalk
