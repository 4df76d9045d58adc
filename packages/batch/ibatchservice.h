#ifndef CYCLAMENWALK_BATCH_IBATCHSERVICE_H
#define CYCLAMENWALK_BATCH_IBATCHSERVICE_H

#include "batch/ijobsubmission.h"
#include "membership/types/peer.h"

#include <vector>

namespace cyclamenwalk {

/// The batch jobs that this entry owns and places on the workers that it is
/// linked to.
class IBatchService : public IJobSubmission {
public:
  virtual void agentUp(const Peer &Agent) = 0;
  virtual void agentDown(const Peer &Agent) = 0;
  virtual void receive(Incarnation Agent, Message &Body) = 0;

  /// Whether runs of an ended job with that name may still be in progress, so
  /// that a job of that name must not be placed.
  virtual bool isStopping(const std::string &Name) const = 0;

  /// Whether any worker accepts tasks.
  virtual bool hasWorkers() const = 0;

  /// The room of the workers that accept tasks, by service.
  virtual std::vector<ServiceRoom> rooms() const = 0;

  /// The recent work of each group of jobs that this service has decided on;
  /// empty when it does not share capacity among groups.
  virtual std::vector<GroupWork> groupWork() const = 0;

  /// Replaces what is known of another entry's groupWork(); ignored if empty.
  virtual void receiveGroupWork(Incarnation Entry,
                                const std::vector<GroupWork> &Work) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_IBATCHSERVICE_H
