#ifndef CYCLAMENWALK_REQUEST_IREQUESTSERVICE_H
#define CYCLAMENWALK_REQUEST_IREQUESTSERVICE_H

#include "request/types/submission.h"

namespace cyclamenwalk {

/// Runs requests of callers. Those that are not repeatable run at most once.
class IRequestService {
public:
  virtual ~IRequestService() = default;

  /// Issues a ticket that is valid at this entry. Returns nothing when the
  /// maximum number of tickets has been issued.
  virtual std::optional<TicketId> issueTicket() = 0;

  /// Runs the request. If it repeats an earlier one, waits for the job of that
  /// one instead. The answer contains the id of the job. \p Accepted receives
  /// the id when the job is submitted.
  virtual void submit(Submission Request, std::function<void(JobId)> Accepted,
                      JobCallback Done) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_IREQUESTSERVICE_H
