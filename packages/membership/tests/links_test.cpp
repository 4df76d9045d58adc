#include "membership/tests/mocks/linkpair.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

using Numbers = std::vector<std::uint32_t>;

TEST(Links, bothEndsComeUpAndDeliver) {
  LinkPair Pair;
  Pair.connect();
  EXPECT_EQ(Pair.m_Agent.m_UpCount, 1);
  EXPECT_EQ(Pair.m_Entry.m_UpCount, 1);
  Pair.sendFromAgent(7);
  Pair.deliver();
  EXPECT_EQ(Pair.m_Entry.m_Received, Numbers{7});
}

TEST(Links, helloIsRepeatedUntilTheEntryReplies) {
  LinkPair Pair;
  Pair.m_Agent.m_Transport.setInterrupted(true);
  Pair.m_Agent.m_Links.connect(Pair.m_Entry.m_Self.m_Address);
  Pair.m_Agent.m_Transport.setInterrupted(true);
  Pair.advance(seconds(2));
  EXPECT_EQ(Pair.m_Agent.m_UpCount, 0);
  Pair.m_Agent.m_Transport.setInterrupted(false);
  Pair.advance(seconds(1));
  EXPECT_EQ(Pair.m_Agent.m_UpCount, 1);
}

TEST(Links, newConnectionsAreOpenedUntilThePeerReplies) {
  LinkPair Pair;
  Pair.m_Agent.m_Transport.m_IsMessageLost = [](const Envelope &) {
    return true;
  };
  Pair.m_Agent.m_Links.connect(Pair.m_Entry.m_Self.m_Address);
  Pair.advance(seconds(2));
  // One attempt in each LinkSettings::m_HelloRetryPeriod.
  EXPECT_GE(Pair.m_Agent.m_Transport.m_ReconnectCount, 3);
  Pair.m_Agent.m_Transport.m_IsMessageLost = nullptr;
  Pair.advance(milliseconds(500));
  EXPECT_EQ(Pair.m_Agent.m_UpCount, 1);
}

TEST(Links, addressWithoutReplyIsReported) {
  LinkPair Pair;
  Pair.m_Agent.m_Links.connect("127.0.0.1:1");
  Pair.m_Agent.m_Transport.m_InFlight.clear();
  Pair.m_Agent.m_Transport.m_IsMessageLost = [](const Envelope &) {
    return true;
  };
  Pair.advance(seconds(7));
  EXPECT_EQ(Pair.m_Agent.m_UnreachableCount, 1);
}

TEST(Links, stalledConnectionIsReplacedWithoutLossOrDuplicates) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Agent.m_Transport.stallConnections();
  Pair.sendFromAgent(1);
  Pair.sendFromAgent(2);
  Pair.advance(seconds(3));
  EXPECT_GE(Pair.m_Agent.m_Transport.m_ReconnectCount, 1);
  EXPECT_EQ(Pair.m_Entry.m_Received, (Numbers{1, 2}));
  EXPECT_EQ(Pair.m_Entry.m_DownCount + Pair.m_Agent.m_DownCount, 0);
}

TEST(Links, stalledIdleConnectionOfThePeerIsReplacedOnRequest) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Entry.m_Transport.stallConnections();
  Pair.advance(seconds(4));
  EXPECT_GE(Pair.m_Entry.m_Transport.m_ReconnectCount, 1);
  Pair.advance(seconds(10));
  EXPECT_EQ(Pair.m_Agent.m_DownCount, 0);
}

/// A process that was paused reads what its sockets kept before its timers run.
TEST(Links, messageThatWaitedBeyondTheLeaseIsNotDelivered) {
  LinkPair Pair;
  Pair.connect();
  Pair.sendFromAgent(1);
  Pair.m_Timers.pause(seconds(7));
  Pair.deliver();
  EXPECT_EQ(Pair.m_Entry.m_Received, Numbers{});
  EXPECT_EQ(Pair.m_Entry.m_DownCount, 1);
}

TEST(Links, lostMessageIsResentWhenALaterOneRevealsTheGap) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Agent.m_Transport.m_IsMessageLost = [](const Envelope &Outgoing) {
    return Outgoing.m_Sequence == 1;
  };
  Pair.sendFromAgent(1);
  Pair.m_Agent.m_Transport.m_IsMessageLost = nullptr;
  Pair.sendFromAgent(2);
  Pair.deliver();
  EXPECT_EQ(Pair.m_Entry.m_Received, (Numbers{1, 2}));
}

TEST(Links, interruptionLongerThanTheLeaseClosesBothEnds) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Agent.m_Transport.setInterrupted(true);
  Pair.m_Entry.m_Transport.setInterrupted(true);
  Pair.advance(seconds(7));
  EXPECT_EQ(Pair.m_Agent.m_DownCount, 1);
  EXPECT_EQ(Pair.m_Entry.m_DownCount, 1);
}

TEST(Links, leaseExpiredDuringAPauseIsDetectedFirst) {
  LinkPair Pair;
  Pair.connect();
  Pair.m_Timers.pause(seconds(30));
  Pair.m_Timers.advance(milliseconds(1));
  EXPECT_EQ(Pair.m_Agent.m_DownCount, 1);
}

TEST(Links, newIncarnationReplacesTheOldLink) {
  LinkPair Pair;
  Pair.connect();
  TestProcess Restarted("agent-1", 12, Role::Agent, Pair.m_Timers);
  Restarted.m_Links.connect(Pair.m_Entry.m_Self.m_Address);
  LinkPair::moveMessages(Restarted.m_Transport, Pair.m_Entry);
  EXPECT_EQ(Pair.m_Entry.m_DownCount, 1);
  EXPECT_EQ(Pair.m_Entry.m_UpCount, 2);
}

TEST(Links, messagesForAnEarlierIncarnationAreDropped) {
  LinkPair Pair;
  Pair.connect();
  Envelope Stale;
  Stale.m_Sender = Pair.m_Agent.m_Self.m_Incarnation;
  Stale.m_Receiver = Incarnation{99};
  Stale.m_Sequence = 1;
  Stale.m_Message = Demand{5, {}};
  Pair.m_Entry.m_Transport.m_ReceiveHook(Stale);
  EXPECT_TRUE(Pair.m_Entry.m_Received.empty());
}

TEST(Links, delayedHelloOfAnOlderLinkIsIgnored) {
  LinkPair Pair;
  Pair.m_Agent.m_Links.connect(Pair.m_Entry.m_Self.m_Address);
  Envelope Old = Pair.m_Agent.m_Transport.m_InFlight.front();
  Pair.deliver();
  Pair.m_Agent.m_Links.disconnect(Pair.m_Entry.m_Self.m_Incarnation);
  Pair.connect();
  Pair.m_Entry.m_Transport.m_ReceiveHook(Old);
  Pair.sendFromAgent(3);
  Pair.deliver();
  EXPECT_EQ(Pair.m_Entry.m_Received, Numbers{3});
}

TEST(Links, idleLinkSendsAtMostOneHeartbeatPerSecondEachWay) {
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
  EXPECT_EQ(Pair.m_Entry.m_DownCount, 1);
}

// Random losses, duplicates, reordering and stalled connections must not break
// the order or duplicate a message. All messages arrive, as the faults end
// before the lease expires.
TEST(Links, deliveryIsOrderedAndExactlyOnceUnderFaults) {
  EXPECT_TRUE(rc::check("all messages arrive once and in order", [] {
    LinkPair Pair;
    Pair.connect();
    std::uint32_t Sent = 0;
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (int Step : Steps) {
      auto &InFlight = Pair.m_Agent.m_Transport.m_InFlight;
      if (Step == 0)
        Pair.sendFromAgent(++Sent);
      else if (Step == 1 && !InFlight.empty())
        InFlight.erase(InFlight.begin());
      else if (Step == 2 && !InFlight.empty())
        InFlight.push_back(InFlight.front());
      else if (Step == 3 && InFlight.size() > 1)
        std::swap(InFlight.front(), InFlight.back());
      else if (Step == 4)
        Pair.m_Agent.m_Transport.stallConnections();
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
