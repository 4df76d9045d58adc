#ifndef CYCLAMENWALK_JOB_IJOBSERVICE_H
#define CYCLAMENWALK_JOB_IJOBSERVICE_H

#include "job/types/jobspec.h"
#include "job/types/sitestatus.h"
#include "membership/types/peer.h"

#include <cstddef>

namespace cyclamenwalk {

/// The jobs that this entry owns, from admission to their answer.
class IJobService {
public:
  virtual ~IJobService() = default;

  /// The id of a job that is yet to be submitted.
  virtual JobId reserve() = 0;

  /// Whether a job would be admitted now; Ok or the code of the refusal.
  virtual ResultCode precheck(const JobSpec &Spec) = 0;

  /// Admits or refuses a job under a reserved id. \p Done gets the answer, at
  /// once if it is refused.
  virtual void submitAs(JobId Id, JobSpec Spec, JobCallback Done) = 0;

  /// submitAs() with a fresh id, which is also that of a refused job.
  JobId submit(JobSpec Spec, JobCallback Done) {
    JobId Id = reserve();
    submitAs(Id, std::move(Spec), std::move(Done));
    return Id;
  }

  /// Calls \p Done with the answer of a job that is known, at once if it has
  /// ended; false when the job is not known.
  virtual bool wait(JobId Id, JobCallback Done) = 0;

  /// Ends a job; false when it is not known or has ended.
  virtual bool cancel(JobId Id) = 0;

  virtual void agentUp(const Peer &Agent) = 0;
  virtual void agentDown(const Peer &Agent) = 0;
  virtual void receive(Incarnation Agent, Message &Body) = 0;

  /// The configuration or this entry's share of quotas has changed.
  virtual void reconfigure() = 0;

  virtual SiteStatus status() const = 0;

  /// Jobs that have not ended.
  virtual std::size_t running() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_IJOBSERVICE_H
