#include "request/internal/tickets.h"

namespace cyclamenwalk {

Tickets::Tickets(Incarnation Own, RequestSettings Settings,
                 ITimerService &Timers)
    : m_Own(Own), m_Settings(Settings), m_Timers(Timers) {}

std::optional<TicketId> Tickets::issue() {
  forgetOld();
  if (m_Jobs.size() >= m_Settings.m_MaxTickets)
    return std::nullopt;
  std::uint64_t Sequence = ++m_LastSequence;
  m_Jobs.emplace(Sequence, std::nullopt);
  m_Order.push_back({Sequence, m_Timers.now()});
  return TicketId{m_Own, Sequence};
}

bool Tickets::isUsed(TicketId Id) {
  forgetOld();
  auto Found = m_Jobs.find(Id.m_Sequence);
  return Id.m_Entry == m_Own && Found != m_Jobs.end() && Found->second;
}

bool Tickets::isGood(TicketId Id) {
  forgetOld();
  auto Found = m_Jobs.find(Id.m_Sequence);
  return Id.m_Entry == m_Own && Found != m_Jobs.end() && !Found->second;
}

void Tickets::use(TicketId Id, JobId Job) { m_Jobs[Id.m_Sequence] = Job; }

void Tickets::release(TicketId Id) {
  auto Found = m_Jobs.find(Id.m_Sequence);
  if (Found != m_Jobs.end())
    Found->second.reset();
}

JobId Tickets::jobOf(TicketId Id) const {
  return m_Jobs.at(Id.m_Sequence).value();
}

/// A ticket that is forgotten cannot be used any more, so forgetting a used
/// one cannot let it run twice.
void Tickets::forgetOld() {
  while (!m_Order.empty() && m_Timers.now() - m_Order.front().m_IssuedAt >
                                 m_Settings.m_TicketLifetime) {
    m_Jobs.erase(m_Order.front().m_Sequence);
    m_Order.pop_front();
  }
}

} // namespace cyclamenwalk
