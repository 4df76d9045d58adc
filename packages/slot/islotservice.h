#ifndef CYCLAMENWALK_SLOT_ISLOTSERVICE_H
#define CYCLAMENWALK_SLOT_ISLOTSERVICE_H

#include "membership/types/peer.h"
#include "slot/types/execution.h"

#include <cstddef>

namespace cyclamenwalk {

/// Owns the slots of one backend server: grants credits to entries and decides
/// alone, at the instant before it, whether a task starts.
class ISlotService {
public:
  virtual ~ISlotService() = default;

  virtual void announce(const BackendOffer &Offer) = 0;

  /// The backend server takes no new tasks; what runs goes on.
  virtual void leave() = 0;

  virtual void setLimits(const SlotLimits &Limits) = 0;

  virtual void entryUp(const Peer &Entry) = 0;
  virtual void entryDown(const Peer &Entry) = 0;
  virtual void receive(Incarnation Entry, Message &Body) = 0;

  virtual std::size_t running() const = 0;
  virtual std::size_t creditsOut() const = 0;
  virtual bool isServing() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_ISLOTSERVICE_H
