#ifndef CYCLAMENWALK_EVACUATION_EVACUATIONRELAY_H
#define CYCLAMENWALK_EVACUATION_EVACUATIONRELAY_H

#include "evacuation/ievacuationstate.h"
#include "membership/ilinks.h"

#include <memory>

namespace cyclamenwalk {

/// Distributes the evacuated failure domains over the links, so that processes
/// that cannot reach the store learn them too: on a change, and when a link
/// comes up.
class EvacuationRelay {
public:
  EvacuationRelay(IEvacuationState &State, ILinks &Links);
  ~EvacuationRelay();

  void peerUp(Incarnation Peer);
  void peerDown(Incarnation Peer);

  /// Returns false if the message is not about evacuations.
  bool receive(Incarnation Peer, const Message &Body);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_EVACUATION_EVACUATIONRELAY_H
