#ifndef CYCLAMENWALK_WORKER_IWORKERSERVICE_H
#define CYCLAMENWALK_WORKER_IWORKERSERVICE_H

#include "membership/types/peer.h"
#include "worker/types/backend.h"

#include <cstddef>

namespace cyclamenwalk {

/// Owns the room of the backend server beside this agent and decides alone
/// what starts there.
class IWorkerService {
public:
  virtual ~IWorkerService() = default;

  virtual void announce(const BackendAnnouncement &Said) = 0;

  /// The backend server has ended in good order.
  virtual void withdraw(const std::string &Instance) = 0;

  /// This agent takes no new tasks; what runs goes on.
  virtual void drain() = 0;

  virtual void entryUp(const Peer &Entry) = 0;
  /// Ends all that the entry has placed here.
  virtual void entryDown(const Peer &Entry) = 0;
  virtual void receive(Incarnation Entry, Message &Body) = 0;

  /// Runs that are placed here and have not ended.
  virtual std::size_t running() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_IWORKERSERVICE_H
