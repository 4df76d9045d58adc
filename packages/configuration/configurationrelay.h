#ifndef CYCLAMENWALK_CONFIGURATION_CONFIGURATIONRELAY_H
#define CYCLAMENWALK_CONFIGURATION_CONFIGURATIONRELAY_H

#include "configuration/iconfigurationstore.h"
#include "membership/ilinks.h"

#include <memory>

namespace cyclamenwalk {

/// Carries configurations over the links: each side says which version it
/// has, and the one that is behind asks for the body.
class ConfigurationRelay {
public:
  ConfigurationRelay(IConfigurationStore &Store, ILinks &Links);
  ~ConfigurationRelay();

  void peerUp(Incarnation Peer);
  void peerDown(Incarnation Peer);

  /// False when the message is not about configuration.
  bool receive(Incarnation Peer, Message &Body);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_CONFIGURATIONRELAY_H
