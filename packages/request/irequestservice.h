#ifndef CYCLAMENWALK_REQUEST_IREQUESTSERVICE_H
#define CYCLAMENWALK_REQUEST_IREQUESTSERVICE_H

#include "request/types/submission.h"

namespace cyclamenwalk {

/// Requests of callers: runs those that are not repeatable at most once.
class IRequestService {
public:
  virtual ~IRequestService() = default;

  /// A ticket that names this entry; empty when too many are out.
  virtual std::optional<TicketId> issueTicket() = 0;

  /// Runs the request, or joins the run that it is a repetition of. The id of
  /// the job is in the answer. \p Accepted is told the id as soon as the job
  /// is under way.
  virtual void submit(Submission Request, std::function<void(JobId)> Accepted,
                      JobCallback Done) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_IREQUESTSERVICE_H
