#ifndef CYCLAMENWALK_BATCH_IBATCHSERVICE_H
#define CYCLAMENWALK_BATCH_IBATCHSERVICE_H

#include "batch/types/batchspec.h"
#include "membership/types/peer.h"

#include <cstddef>
#include <string>

namespace cyclamenwalk {

/// The batch jobs that this entry owns, from admission to their answer.
class IBatchService {
public:
  virtual ~IBatchService() = default;

  /// Admits or refuses a job; \p Done gets the answer, at once if it is
  /// refused. A second submission of a name under way waits for the same end.
  virtual JobId submit(BatchSpec Spec, BatchCallback Done) = 0;

  /// A caller of the job has left; it ends with the last one. Ignored when it
  /// has ended.
  virtual void abandon(JobId Id) = 0;

  /// Ends the job with that name; false when none is under way here.
  virtual bool cancel(const std::string &Name) = 0;

  /// Whether a job with that name is under way here.
  virtual bool isRunning(const std::string &Name) const = 0;

  /// Jobs of a route of which no task has been placed.
  virtual std::size_t waiting(const std::string &Route) const = 0;

  virtual void agentUp(const Peer &Agent) = 0;
  virtual void agentDown(const Peer &Agent) = 0;
  virtual void receive(Incarnation Agent, Message &Body) = 0;

  /// Whether any worker takes tasks.
  virtual bool hasWorkers() const = 0;

  /// Jobs that have not ended.
  virtual std::size_t running() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_IBATCHSERVICE_H
