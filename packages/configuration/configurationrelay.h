#ifndef CYCLAMENWALK_CONFIGURATION_CONFIGURATIONRELAY_H
#define CYCLAMENWALK_CONFIGURATION_CONFIGURATIONRELAY_H

#include "configuration/iconfigurationstore.h"
#include "membership/ilinks.h"

#include <memory>

namespace cyclamenwalk {

/// Distributes configurations over the links. Peers announce their versions,
/// and a peer with an older version requests the body.
class ConfigurationRelay {
public:
  ConfigurationRelay(IConfigurationStore &Store, ILinks &Links);
  ~ConfigurationRelay();

  void peerUp(Incarnation Peer);
  void peerDown(Incarnation Peer);

  /// Returns false if the message is not about configurations.
  bool receive(Incarnation Peer, Message &Body);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_CONFIGURATIONRELAY_H
