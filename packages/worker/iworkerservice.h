#ifndef CYCLAMENWALK_WORKER_IWORKERSERVICE_H
#define CYCLAMENWALK_WORKER_IWORKERSERVICE_H

#include "membership/types/peer.h"
#include "worker/types/backend.h"

#include <cstddef>

namespace cyclamenwalk {

/// Manages the resources of this agent's backend server; the only component
/// that starts runs there.
class IWorkerService {
public:
  virtual ~IWorkerService() = default;

  virtual void announce(const BackendAnnouncement &Announcement) = 0;

  /// The backend server is about to end. Its runs are stopped, and count as
  /// ended only when that is known.
  virtual void deregister(const std::string &Instance) = 0;

  /// Accepts no new tasks; runs in progress continue.
  virtual void drain() = 0;

  /// While \p IsEvacuated, starts nothing, returns the tasks that wait and
  /// accepts no new ones; runs in progress continue.
  virtual void setEvacuated(bool IsEvacuated) = 0;

  virtual void entryUp(const Peer &Entry) = 0;
  /// Stops all runs that the entry has placed here.
  virtual void entryDown(const Peer &Entry) = 0;
  virtual void receive(Incarnation Entry, Message &Body) = 0;

  /// Takes no more tasks from \p Entry and closes the link to it when its runs
  /// have ended.
  virtual void withdrawFrom(Incarnation Entry) = 0;

  /// The number of runs placed here that have not ended, including those that
  /// wait.
  virtual std::size_t running() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_IWORKERSERVICE_H
