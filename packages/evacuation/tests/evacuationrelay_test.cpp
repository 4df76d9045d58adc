#include "core/tests/mocks/metricsfake.h"
#include "evacuation/evacuationmodule.h"
#include "evacuation/evacuationrelay.h"
#include "membership/tests/mocks/linksfake.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

const Incarnation PeerA{1};
const Incarnation PeerB{2};

class EvacuationRelayTest : public testing::Test {
protected:
  void receive(Incarnation From, std::uint64_t Version,
               std::vector<std::string> Domains) {
    Message Body = EvacuationNotice{Version, std::move(Domains)};
    EXPECT_TRUE(m_Relay.receive(From, Body));
  }

  /// The receivers of the notices sent since the last call.
  std::vector<Incarnation> takeReceivers() {
    std::vector<Incarnation> Receivers;
    for (const auto &Sent : m_Links.sent<EvacuationNotice>())
      Receivers.push_back(Sent.first);
    m_Links.m_Sent.clear();
    return Receivers;
  }

  MetricsFake m_Metrics;
  std::unique_ptr<IEvacuationState> m_State = makeEvacuationState(m_Metrics);
  LinksFake m_Links;
  EvacuationRelay m_Relay{*m_State, m_Links};
};

} // namespace

/// A process that cannot reach the store learns the request from a peer that
/// may have learned it from another one.
TEST_F(EvacuationRelayTest, ChangeIsPassedOnToAllButItsSource) {
  m_Relay.peerUp(PeerA);
  m_Relay.peerUp(PeerB);
  EXPECT_TRUE(takeReceivers().empty());
  receive(PeerA, 4, {"a"});
  EXPECT_EQ(takeReceivers(), std::vector<Incarnation>{PeerB});
  m_State->adoptIfNewer({6, {}}, "store");
  EXPECT_EQ(takeReceivers(), (std::vector<Incarnation>{PeerA, PeerB}));
}

/// Without this, notices would circulate between the entries for ever.
TEST_F(EvacuationRelayTest, NoticeWithoutAChangeIsNotPassedOn) {
  m_Relay.peerUp(PeerA);
  m_Relay.peerUp(PeerB);
  receive(PeerA, 4, {"a"});
  takeReceivers();
  receive(PeerB, 4, {"a"});
  receive(PeerB, 5, {"a"});
  receive(PeerB, 3, {});
  EXPECT_TRUE(takeReceivers().empty());
  EXPECT_EQ(m_State->current().m_Version, 5u);
}

/// A process that was cut off while a request was withdrawn learns that when
/// its link is up again.
TEST_F(EvacuationRelayTest, NewLinkGetsTheStateAlsoWhenNothingIsEvacuated) {
  m_State->adoptIfNewer({3, {}}, "store");
  m_Relay.peerUp(PeerA);
  EXPECT_EQ(takeReceivers(), std::vector<Incarnation>{PeerA});
  m_Relay.peerDown(PeerA);
  m_State->adoptIfNewer({8, {"a"}}, "store");
  EXPECT_TRUE(takeReceivers().empty());
}
