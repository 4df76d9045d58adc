#include "configuration/configurationrelay.h"

#include <set>

namespace cyclamenwalk {

class ConfigurationRelay::Impl {
public:
  Impl(IConfigurationStore &Store, ILinks &Links)
      : m_Store(Store), m_Links(Links) {
    m_Store.subscribe([this] { announceToAll(); });
  }

  void peerUp(Incarnation Peer) {
    m_Peers.insert(Peer);
    announce(Peer);
  }

  void peerDown(Incarnation Peer) {
    m_Peers.erase(Peer);
    bool IsRequestLost =
        m_RequestedPeer == Peer && m_RequestedVersion > m_Store.version();
    if (!IsRequestLost)
      return;
    // Peers with a newer version reply with a notice, and one of them is asked
    // instead.
    m_RequestedVersion = 0;
    announceToAll();
  }

  bool receive(Incarnation Peer, Message &Body) {
    if (auto *Notice = std::get_if<ConfigurationNotice>(&Body))
      receiveNotice(Peer, Notice->m_Version);
    else if (std::holds_alternative<ConfigurationRequest>(Body))
      m_Links.send(Peer, ConfigurationBody{m_Store.version(), m_Store.text()});
    else if (auto *Configuration = std::get_if<ConfigurationBody>(&Body))
      m_Store.activateIfNewer(Configuration->m_Version, Configuration->m_Text);
    else
      return false;
    return true;
  }

private:
  void receiveNotice(Incarnation Peer, std::uint64_t Version) {
    if (Version < m_Store.version())
      announce(Peer);
    // Each version is requested from one peer only.
    if (Version <= m_Store.version() || Version <= m_RequestedVersion)
      return;
    m_RequestedVersion = Version;
    m_RequestedPeer = Peer;
    m_Links.send(Peer, ConfigurationRequest{m_Store.version()});
  }

  void announce(Incarnation Peer) {
    m_Links.send(Peer, ConfigurationNotice{m_Store.version()});
  }

  void announceToAll() {
    for (Incarnation Peer : m_Peers)
      announce(Peer);
  }

  IConfigurationStore &m_Store;
  ILinks &m_Links;
  std::set<Incarnation> m_Peers;
  std::uint64_t m_RequestedVersion = 0;
  Incarnation m_RequestedPeer;
};

ConfigurationRelay::ConfigurationRelay(IConfigurationStore &Store,
                                       ILinks &Links)
    : m_Impl(std::make_unique<Impl>(Store, Links)) {}
ConfigurationRelay::~ConfigurationRelay() = default;

void ConfigurationRelay::peerUp(Incarnation Peer) { m_Impl->peerUp(Peer); }
void ConfigurationRelay::peerDown(Incarnation Peer) { m_Impl->peerDown(Peer); }
bool ConfigurationRelay::receive(Incarnation Peer, Message &Body) {
  return m_Impl->receive(Peer, Body);
}

} // namespace cyclamenwalk
