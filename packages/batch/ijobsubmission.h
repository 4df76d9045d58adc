#ifndef CYCLAMENWALK_BATCH_IJOBSUBMISSION_H
#define CYCLAMENWALK_BATCH_IJOBSUBMISSION_H

#include "batch/types/batchanswer.h"

#include <cstddef>
#include <string>

namespace cyclamenwalk {

/// Batch jobs on behalf of callers, from submission to answer.
class IJobSubmission {
public:
  virtual ~IJobSubmission() = default;

  /// Admits or refuses a job. \p Callback gets the answer, immediately if the
  /// job is refused. If a job of the same name is running, the submission
  /// joins it and gets its answer.
  virtual JobId submit(BatchSpec Spec, BatchCallback Callback) = 0;

  /// Removes a caller that has disconnected; the job is cancelled with its last
  /// caller. Ignored if the job has ended.
  virtual void removeCaller(JobId Id) = 0;

  /// Cancels the job with that name; false if there is no such job here.
  virtual bool cancel(const std::string &Name) = 0;

  /// Whether there is a job with that name here.
  virtual bool isRunning(const std::string &Name) const = 0;

  /// The number of jobs of a route of which no task is known to have started.
  virtual std::size_t waiting(const std::string &Route) const = 0;

  /// The number of jobs that have not ended.
  virtual std::size_t running() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_IJOBSUBMISSION_H
