#ifndef CYCLAMENWALK_REQUEST_INTERNAL_TICKETS_H
#define CYCLAMENWALK_REQUEST_INTERNAL_TICKETS_H

#include "core/itimerservice.h"
#include "request/types/submission.h"

#include <deque>
#include <unordered_map>

namespace cyclamenwalk {

/// The tickets that this entry has issued, and the jobs that they were used
/// for.
class Tickets {
public:
  Tickets(Incarnation Own, RequestSettings Settings, ITimerService &Timers);

  std::optional<TicketId> issue();

  bool isUsed(TicketId Id);
  bool isGood(TicketId Id);
  void use(TicketId Id, JobId Job);

  /// The job of a used ticket did not run; the ticket is good again.
  void release(TicketId Id);

  /// The job that a used ticket was used for.
  JobId jobOf(TicketId Id) const;

private:
  struct Ticket {
    std::uint64_t m_Sequence = 0;
    TimePoint m_IssuedAt;
  };

  void forgetOld();

  const Incarnation m_Own;
  const RequestSettings m_Settings;
  ITimerService &m_Timers;
  /// By sequence; empty while unused.
  std::unordered_map<std::uint64_t, std::optional<JobId>> m_Jobs;
  std::deque<Ticket> m_Order;
  std::uint64_t m_LastSequence = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_INTERNAL_TICKETS_H
