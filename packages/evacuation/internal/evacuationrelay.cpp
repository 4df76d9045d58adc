#include "evacuation/evacuationrelay.h"

#include <set>

namespace cyclamenwalk {

class EvacuationRelay::Impl {
public:
  Impl(IEvacuationState &State, ILinks &Links)
      : m_State(State), m_Links(Links) {
    m_State.subscribe([this] { notifyAll(); });
  }

  void peerUp(Incarnation Peer) {
    m_Peers.insert(Peer);
    // A peer that knows an older state may hold domains that were withdrawn.
    if (m_State.current().m_Version > 0)
      notify(Peer);
  }

  void peerDown(Incarnation Peer) { m_Peers.erase(Peer); }

  bool receive(Incarnation Peer, const Message &Body) {
    auto *Notice = std::get_if<EvacuationNotice>(&Body);
    if (!Notice)
      return false;
    m_Source = Peer;
    m_State.adoptIfNewer({Notice->m_Version,
                          {Notice->m_Domains.begin(), Notice->m_Domains.end()}},
                         "peer");
    m_Source = {};
    return true;
  }

private:
  void notify(Incarnation Peer) {
    const Evacuation &Current = m_State.current();
    m_Links.send(Peer, EvacuationNotice{Current.m_Version,
                                        {Current.m_Domains.begin(),
                                         Current.m_Domains.end()}});
  }

  void notifyAll() {
    for (Incarnation Peer : m_Peers)
      if (Peer != m_Source)
        notify(Peer);
  }

  IEvacuationState &m_State;
  ILinks &m_Links;
  std::set<Incarnation> m_Peers;
  /// The peer whose notice is being processed.
  Incarnation m_Source;
};

EvacuationRelay::EvacuationRelay(IEvacuationState &State, ILinks &Links)
    : m_Impl(std::make_unique<Impl>(State, Links)) {}
EvacuationRelay::~EvacuationRelay() = default;

void EvacuationRelay::peerUp(Incarnation Peer) { m_Impl->peerUp(Peer); }
void EvacuationRelay::peerDown(Incarnation Peer) { m_Impl->peerDown(Peer); }
bool EvacuationRelay::receive(Incarnation Peer, const Message &Body) {
  return m_Impl->receive(Peer, Body);
}

} // namespace cyclamenwalk
