#ifndef CYCLAMENWALK_JOB_IJOBSERVICE_H
#define CYCLAMENWALK_JOB_IJOBSERVICE_H

#include "job/types/entrystatus.h"
#include "job/types/jobspec.h"
#include "membership/types/peer.h"

#include <cstddef>

namespace cyclamenwalk {

/// Runs the jobs that this entry owns, from admission to the answer.
class IJobService {
public:
  virtual ~IJobService() = default;

  /// Returns an unused id for submitWithId().
  virtual JobId reserve() = 0;

  /// Returns Ok if the job would be admitted now, or the reason for refusal.
  virtual ResultCode checkAdmission(const JobSpec &Spec) = 0;

  /// Admits or refuses a job under an id from reserve(). \p Done receives the
  /// answer, immediately if the job is refused.
  virtual void submitWithId(JobId Id, JobSpec Spec, JobCallback Done) = 0;

  /// Submits a job under a new id, which is returned even if it is refused.
  JobId submit(JobSpec Spec, JobCallback Done) {
    JobId Id = reserve();
    submitWithId(Id, std::move(Spec), std::move(Done));
    return Id;
  }

  /// Calls \p Done with the answer of a job, immediately if the job has ended.
  /// Returns false if there is no such job or its answer has expired.
  virtual bool wait(JobId Id, JobCallback Done) = 0;

  /// Cancels a job. Returns false if it does not exist or has ended.
  virtual bool cancel(JobId Id) = 0;

  virtual void agentUp(const Peer &Agent) = 0;
  virtual void agentDown(const Peer &Agent) = 0;
  virtual void receive(Incarnation Agent, Message &Body) = 0;

  /// Applies a change of the configuration or of this entry's quota share.
  virtual void reconfigure() = 0;

  virtual EntryStatus status() const = 0;

  /// Returns the number of jobs that have not ended.
  virtual std::size_t running() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_IJOBSERVICE_H
