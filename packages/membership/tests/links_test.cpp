#include "membership/tests/mocks/linkpair.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

using Numbers = std::vector<std::uint32_t>;

TEST(Links, comeUpAtBothEndsAndDeliver) {
  LinkPair Pair;
  Pair.connect();
  EXPECT_EQ(Pair.m_Agent.m_Ups, 1);
  EXPECT_EQ(Pair.m_Entry.m_Ups, 1);
  Pair.sendFromAgent(7);
  Pair.deliver();
  EXPECT_EQ(Pair.m_Entry.m_Received, Numbers{7});
}

TEST(Links, helloIsRepeatedUntilAnswered) {
  LinkPair Pair;
  Pair.m_Agent.m_Wire.setCut(true);
  Pair.m_Agent.m_Links.connect(Pair.m_Entry.m_Self.m_Address);
  Pair.m_Agent.m_Wire.setCut(true);
  Pair.advance(seconds(2));
  EXPECT_EQ(Pair.m_Agent.m_Ups, 0);
  Pair.m_Agent.m_Wire.setCut(false);
  Pair.advance(seconds(1));
  EXPECT_EQ(Pair.m_Agent.m_Ups, 1);
}

TEST(Links, aPeerThatIsNotThereYetIsDialledAnew) {
  LinkPair Pair;
  Pair.m_Agent.m_Wire.m_Loses = [](const Envelope &) { return true; };
  Pair.m_Agent.m_Links.connect(Pair.m_Entry.m_Self.m_Address);
  Pair.advance(seconds(2));
  // One dial in each period of LinkSettings::m_HelloRetryPeriod.
  EXPECT_GE(Pair.m_Agent.m_Wire.m_Redials, 3);
  Pair.m_Agent.m_Wire.m_Loses = nullptr;
  Pair.advance(milliseconds(500));
  EXPECT_EQ(Pair.m_Agent.m_Ups, 1);
}

TEST(Links, unansweredAddressIsReported) {
  LinkPair Pair;
  Pair.m_Agent.m_Links.connect("127.0.0.1:1");
  Pair.m_Agent.m_Wire.m_InFlight.clear();
  Pair.m_Agent.m_Wire.m_Loses = [](const Envelope &) { return true; };
  Pair.advance(seconds(7));
  EXPECT_EQ(Pair.m_Agent.m_Unreachable, 1);
}

TEST(Links, silentConnectionIsReplacedAndNothingIsLostOrDoubled) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Agent.m_Wire.silence();
  Pair.sendFromAgent(1);
  Pair.sendFromAgent(2);
  Pair.advance(seconds(3));
  EXPECT_GE(Pair.m_Agent.m_Wire.m_Redials, 1);
  EXPECT_EQ(Pair.m_Entry.m_Received, (Numbers{1, 2}));
  EXPECT_EQ(Pair.m_Entry.m_Downs + Pair.m_Agent.m_Downs, 0);
}

TEST(Links, silentIdleConnectionOfThePeerIsReplacedOnRequest) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Entry.m_Wire.silence();
  Pair.advance(seconds(4));
  EXPECT_GE(Pair.m_Entry.m_Wire.m_Redials, 1);
  Pair.advance(seconds(10));
  EXPECT_EQ(Pair.m_Agent.m_Downs, 0);
}

TEST(Links, lostMessageIsSentAgainAtOnceWhenALaterOneShowsTheGap) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Agent.m_Wire.m_Loses = [](const Envelope &Value) {
    return Value.m_Sequence == 1;
  };
  Pair.sendFromAgent(1);
  Pair.m_Agent.m_Wire.m_Loses = nullptr;
  Pair.sendFromAgent(2);
  Pair.deliver();
  EXPECT_EQ(Pair.m_Entry.m_Received, (Numbers{1, 2}));
}

TEST(Links, cutLongerThanTheLeaseTakesBothEndsDown) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Agent.m_Wire.setCut(true);
  Pair.m_Entry.m_Wire.setCut(true);
  Pair.advance(seconds(7));
  EXPECT_EQ(Pair.m_Agent.m_Downs, 1);
  EXPECT_EQ(Pair.m_Entry.m_Downs, 1);
}

TEST(Links, pausedProcessFindsItsLeaseLapsedBeforeAnythingElse) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Timers.pause(seconds(30));
  Pair.m_Timers.advance(milliseconds(1));
  EXPECT_EQ(Pair.m_Agent.m_Downs, 1);
}

TEST(Links, newIncarnationReplacesTheOldLink) {
  LinkPair Pair;
  Pair.connect();
  LinkEnd Restarted("agent-1", 12, Role::Agent, Pair.m_Timers);
  Restarted.m_Links.connect(Pair.m_Entry.m_Self.m_Address);
  LinkPair::move(Restarted.m_Wire, Pair.m_Entry);
  EXPECT_EQ(Pair.m_Entry.m_Downs, 1);
  EXPECT_EQ(Pair.m_Entry.m_Ups, 2);
}

TEST(Links, messagesForAnEarlierIncarnationAreDropped) {
  LinkPair Pair;
  Pair.connect();
  Envelope Stale;
  Stale.m_Sender = Pair.m_Agent.m_Self.m_Incarnation;
  Stale.m_Receiver = Incarnation{99};
  Stale.m_Sequence = 1;
  Stale.m_Message = Demand{5, {}};
  Pair.m_Entry.m_Wire.m_Receiver(Stale);
  EXPECT_TRUE(Pair.m_Entry.m_Received.empty());
}

TEST(Links, delayedHelloOfAnOlderLinkIsIgnored) {
  LinkPair Pair;
  Pair.m_Agent.m_Links.connect(Pair.m_Entry.m_Self.m_Address);
  Envelope Old = Pair.m_Agent.m_Wire.m_InFlight.front();
  Pair.deliver();
  Pair.m_Agent.m_Links.disconnect(Pair.m_Entry.m_Self.m_Incarnation);
  Pair.connect();
  Pair.m_Entry.m_Wire.m_Receiver(Old);
  Pair.sendFromAgent(3);
  Pair.deliver();
  EXPECT_EQ(Pair.m_Entry.m_Received, Numbers{3});
}

TEST(Links, idleLinkCostsOneHeartbeatASecondEachWay) {
  LinkPair Pair;
  Pair.connect();
  Pair.advance(seconds(20));
  EXPECT_LE(Pair.m_Agent.m_Metrics.of(Metric::HeartbeatsSent), 20u);
  EXPECT_LE(Pair.m_Entry.m_Metrics.of(Metric::HeartbeatsSent), 20u);
}

TEST(Links, goodbyeClosesTheOtherEnd) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Agent.m_Links.disconnect(Pair.m_Entry.m_Self.m_Incarnation);
  Pair.deliver();
  EXPECT_EQ(Pair.m_Entry.m_Downs, 1);
}

// Whatever is lost, repeated, reordered or silenced, the entry sees a prefix
// of what the agent sent, in order and once; and all of it when the faults
// end before the lease does.
TEST(Links, anyFaultsLeaveOrderAndOnceOnly) {
  EXPECT_TRUE(rc::check("prefix in order, once", [] {
    LinkPair Pair;
    Pair.connect();
    std::uint32_t Sent = 0;
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (int Step : Steps) {
      auto &Flight = Pair.m_Agent.m_Wire.m_InFlight;
      if (Step == 0)
        Pair.sendFromAgent(++Sent);
      else if (Step == 1 && !Flight.empty())
        Flight.erase(Flight.begin());
      else if (Step == 2 && !Flight.empty())
        Flight.push_back(Flight.front());
      else if (Step == 3 && Flight.size() > 1)
        std::swap(Flight.front(), Flight.back());
      else if (Step == 4)
        Pair.m_Agent.m_Wire.silence();
      else
        Pair.deliver();
    }
    Pair.advance(seconds(5));
    Numbers Expected;
    for (std::uint32_t I = 1; I <= Sent; ++I)
      Expected.push_back(I);
    RC_ASSERT(Pair.m_Entry.m_Received == Expected);
  }));
}
