#ifndef CYCLAMENWALK_SLOT_ISLOTSERVICE_H
#define CYCLAMENWALK_SLOT_ISLOTSERVICE_H

#include "membership/types/peer.h"
#include "slot/types/execution.h"

#include <cstddef>

namespace cyclamenwalk {

/// Manages the slots of one backend server: grants credits to entries, and is
/// the only component that starts tasks there.
class ISlotService {
public:
  virtual ~ISlotService() = default;

  virtual void announce(const BackendOffer &Offer) = 0;

  /// The backend server accepts no new tasks; running tasks continue.
  virtual void drain() = 0;

  virtual void setLimits(const SlotLimits &Limits) = 0;

  virtual void entryUp(const Peer &Entry) = 0;
  virtual void entryDown(const Peer &Entry) = 0;
  virtual void receive(Incarnation Entry, Message &Body) = 0;

  virtual std::size_t running() const = 0;
  /// The number of credits that entries hold and have not used.
  virtual std::size_t issuedCredits() const = 0;
  virtual bool isServing() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_ISLOTSERVICE_H
