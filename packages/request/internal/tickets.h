#ifndef CYCLAMENWALK_REQUEST_INTERNAL_TICKETS_H
#define CYCLAMENWALK_REQUEST_INTERNAL_TICKETS_H

#include "core/itimerservice.h"
#include "request/types/submission.h"

#include <deque>
#include <unordered_map>

namespace cyclamenwalk {

/// The tickets that this entry has issued, and the jobs that were run with
/// them.
class Tickets {
public:
  Tickets(Incarnation Entry, RequestSettings Settings, ITimerService &Timers);

  std::optional<TicketId> issue();

  bool isUsed(TicketId Id);
  bool isValid(TicketId Id);
  void use(TicketId Id, JobId Job);

  /// Makes a used ticket valid again, because its job did not run.
  void release(TicketId Id);

  /// Returns the job that was run with a used ticket.
  JobId jobOf(TicketId Id) const;

private:
  struct Ticket {
    std::uint64_t m_Sequence = 0;
    TimePoint m_IssuedAt;
  };

  void removeExpired();

  const Incarnation m_Entry;
  const RequestSettings m_Settings;
  ITimerService &m_Timers;
  /// The job of each ticket by sequence number. Empty while the ticket is
  /// unused.
  std::unordered_map<std::uint64_t, std::optional<JobId>> m_Jobs;
  /// Oldest first.
  std::deque<Ticket> m_IssueOrder;
  std::uint64_t m_LastSequence = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_INTERNAL_TICKETS_H
