#include "configuration/configurationmodule.h"
#include "configuration/configurationrelay.h"
#include "membership/tests/mocks/linksmock.h"
#include "statechart/chartfolder.h"

#include <deque>
#include <gtest/gtest.h>

using namespace cyclamenwalk;
using testing::_;

namespace {

const Incarnation PeerA{1};
const Incarnation PeerB{2};

class RelayTest : public testing::Test {
protected:
  RelayTest() {
    ON_CALL(m_Links, send(_, _))
        .WillByDefault([this](Incarnation To, Message Body) {
          m_Sent.emplace_back(To, std::move(Body));
        });
    m_Relay.peerUp(PeerA);
    m_Relay.peerUp(PeerB);
    m_Sent.clear();
  }

  void receive(Incarnation From, Message Body) { m_Relay.receive(From, Body); }

  template <typename Kind> std::size_t sent() const {
    return std::count_if(
        m_Sent.begin(), m_Sent.end(), [](const auto &ToAndBody) {
          return std::holds_alternative<Kind>(ToAndBody.second);
        });
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  std::unique_ptr<IConfigurationStore> m_Store = makeConfigurationStore(
      [](const std::string &) { return DesiredState(); }, m_Charts);
  testing::NiceMock<LinksMock> m_Links;
  ConfigurationRelay m_Relay{*m_Store, m_Links};
  std::deque<std::pair<Incarnation, Message>> m_Sent;
};

} // namespace

TEST_F(RelayTest, requestsANewVersionFromOnePeerAndNotifiesAll) {
  receive(PeerA, ConfigurationNotice{3});
  receive(PeerB, ConfigurationNotice{3});
  EXPECT_EQ(sent<ConfigurationRequest>(), 1u);
  receive(PeerA, ConfigurationBody{3, "x"});
  EXPECT_EQ(m_Store->version(), 3u);
  EXPECT_EQ(sent<ConfigurationNotice>(), 2u);
}

TEST_F(RelayTest, requestsFromAnotherPeerWhenTheFirstIsDown) {
  receive(PeerA, ConfigurationNotice{3});
  m_Relay.peerDown(PeerA);
  receive(PeerB, ConfigurationNotice{3});
  EXPECT_EQ(sent<ConfigurationRequest>(), 2u);
}

TEST_F(RelayTest, notifiesAPeerWithAnOlderVersionAndSendsTheBody) {
  m_Store->activateIfNewer(5, "text");
  m_Sent.clear();
  receive(PeerA, ConfigurationNotice{4});
  EXPECT_EQ(sent<ConfigurationNotice>(), 1u);
  receive(PeerA, ConfigurationRequest{4});
  ASSERT_EQ(sent<ConfigurationBody>(), 1u);
  EXPECT_EQ(std::get<ConfigurationBody>(m_Sent.back().second).m_Text, "text");
  receive(PeerA, ConfigurationBody{4, "old"});
  EXPECT_EQ(m_Store->version(), 5u);
}
