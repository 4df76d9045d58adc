#ifndef CYCLAMENWALK_BATCH_IBATCHSERVICE_H
#define CYCLAMENWALK_BATCH_IBATCHSERVICE_H

#include "batch/types/batchspec.h"
#include "membership/types/peer.h"

#include <cstddef>
#include <string>

namespace cyclamenwalk {

/// The batch jobs that this entry owns, from admission to answer.
class IBatchService {
public:
  virtual ~IBatchService() = default;

  /// Admits or refuses a job. \p Callback gets the answer, immediately if the
  /// job is refused. If a job of the same name is running, the submission
  /// joins it and gets its answer.
  virtual JobId submit(BatchSpec Spec, BatchCallback Callback) = 0;

  /// Removes a caller that has disconnected; the job is cancelled with its last
  /// caller. Ignored if the job has ended.
  virtual void removeCaller(JobId Id) = 0;

  /// Cancels the job with that name; false if this entry runs no such job.
  virtual bool cancel(const std::string &Name) = 0;

  /// Whether this entry runs a job with that name.
  virtual bool isRunning(const std::string &Name) const = 0;

  /// The number of jobs of a route of which no task is known to have started.
  virtual std::size_t waiting(const std::string &Route) const = 0;

  virtual void agentUp(const Peer &Agent) = 0;
  virtual void agentDown(const Peer &Agent) = 0;
  virtual void receive(Incarnation Agent, Message &Body) = 0;

  /// Whether any worker accepts tasks.
  virtual bool hasWorkers() const = 0;

  /// The number of jobs that have not ended.
  virtual std::size_t running() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_IBATCHSERVICE_H
