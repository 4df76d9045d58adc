#include "membership/tests/mocks/linkpair.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

using Numbers = std::vector<std::uint32_t>;

namespace {

/// As between the processes of a site with short latency objectives.
LinkSettings shortPeriods() {
  LinkSettings Settings;
  Settings.m_CheckPeriod = milliseconds(100);
  Settings.m_MaxAcknowledgementDelay = milliseconds(150);
  Settings.m_HeartbeatPeriod = milliseconds(250);
  Settings.m_StallTimeout = milliseconds(450);
  Settings.m_HelloRetryPeriod = milliseconds(100);
  Settings.m_Lease = milliseconds(800);
  Settings.m_MaxConfirmationAge = milliseconds(150);
  Settings.m_ConfirmationTimeout = milliseconds(750);
  return Settings;
}

bool isAlwaysLost(const Envelope &) { return true; }

} // namespace

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

/// An agent that was paused reads what its sockets kept, long after the sender
/// has ended.
TEST(Links, messageThatWaitedDoesNotProveThatItsSenderIsAlive) {
  LinkPair Pair(shortPeriods());
  Pair.connect();
  Pair.sendFromEntry(1);
  TimePoint SentAt = Pair.m_Timers.now();
  Pair.m_Timers.pause(milliseconds(500));
  LinkPair::moveMessages(Pair.m_Entry.m_Transport, Pair.m_Agent);
  EXPECT_EQ(Pair.m_Agent.m_Received, Numbers{1});
  EXPECT_LE(Pair.entryConfirmedAt(), SentAt);
}

/// Guards against tasks that run twice: an entry that wakes up confirms that it
/// was alive before it has learned that a caller's connection broke meanwhile.
TEST(Links, pausedEntryIsNotConfirmedAliveBeforeItHasCaughtUp) {
  LinkPair Pair(shortPeriods());
  Pair.connect();
  Pair.advance(milliseconds(400));
  TimePoint PausedAt = Pair.m_Timers.now();
  Pair.m_Timers.pause(milliseconds(350));
  Pair.sendFromAgent(1);
  LinkPair::moveMessages(Pair.m_Agent.m_Transport, Pair.m_Entry);
  Pair.sendFromEntry(1);
  LinkPair::moveMessages(Pair.m_Entry.m_Transport, Pair.m_Agent);
  EXPECT_LE(Pair.entryConfirmedAt(), PausedAt);
  Pair.advance(milliseconds(200));
  EXPECT_GT(Pair.entryConfirmedAt(), PausedAt);
  EXPECT_EQ(Pair.m_Agent.m_DownCount, 0);
}

TEST(Links, agentOfAnIdleLinkKnowsThatItsEntryIsAlive) {
  LinkPair Pair(shortPeriods());
  Pair.connect();
  for (int Step = 0; Step < 200; ++Step) {
    Pair.advance(milliseconds(50));
    EXPECT_LE(Pair.m_Timers.now() - Pair.entryConfirmedAt(), milliseconds(200));
  }
  // One in 200 ms.
  EXPECT_LE(Pair.m_Agent.m_Metrics.of(Metric::HeartbeatsSent), 50u);
  EXPECT_LE(Pair.m_Entry.m_Metrics.of(Metric::HeartbeatsSent), 50u);
}

/// There are thousands of idle links between entries.
TEST(Links, entryForWhichNothingIsDoneIsNotAskedForConfirmation) {
  LinkPair Pair(shortPeriods());
  Pair.m_Agent.m_ActsForEntries = false;
  Pair.connect();
  Pair.advance(seconds(9));
  EXPECT_EQ(Pair.m_Agent.m_DownCount, 0);
  // One in 300 ms.
  EXPECT_LE(Pair.m_Agent.m_Metrics.of(Metric::HeartbeatsSent), 30u);
  EXPECT_LE(Pair.m_Entry.m_Metrics.of(Metric::HeartbeatsSent), 30u);
}

/// An order to stop is lost with its connection, and heartbeats follow it.
TEST(Links, nothingIsConfirmedWhileAnEarlierMessageIsMissing) {
  LinkPair Pair(shortPeriods());
  Pair.connect();
  Pair.advance(milliseconds(250));
  Pair.m_Entry.m_Transport.m_IsMessageLost = [](const Envelope &Outgoing) {
    return Outgoing.m_Sequence > 0;
  };
  Pair.sendFromEntry(1);
  TimePoint SentAt = Pair.m_Timers.now();
  Pair.advance(milliseconds(400));
  EXPECT_LE(Pair.entryConfirmedAt(), SentAt);
  Pair.m_Entry.m_Transport.m_IsMessageLost = nullptr;
  Pair.advance(milliseconds(300));
  ASSERT_EQ(Pair.m_Agent.m_Received, Numbers{1});
  EXPECT_LE(Pair.m_Agent.m_ConfirmedAtReceipt[0], SentAt)
      << "what it says was decided then";
  EXPECT_GT(Pair.entryConfirmedAt(), SentAt);
}

/// No later message is needed to reveal the gap.
TEST(Links, heartbeatRevealsALostMessage) {
  LinkPair Pair(shortPeriods());
  Pair.connect();
  Pair.m_Entry.m_Transport.m_IsMessageLost = isAlwaysLost;
  Pair.sendFromEntry(1);
  Pair.m_Entry.m_Transport.m_IsMessageLost = nullptr;
  Pair.advance(milliseconds(300));
  EXPECT_EQ(Pair.m_Agent.m_Received, Numbers{1});
}

/// The agent hears the entry, which does not hear the agent.
TEST(Links, entryThatIsNotConfirmedAliveIsGivenUp) {
  LinkPair Pair(shortPeriods());
  Pair.connect();
  Pair.m_Agent.m_Transport.m_IsMessageLost = isAlwaysLost;
  Pair.advance(milliseconds(850));
  EXPECT_EQ(Pair.m_Agent.m_DownCount, 1);
}

TEST(Links, entryPassesOnHowLongItsCallersHaveBeenSilent) {
  LinkPair Pair(shortPeriods());
  Pair.connect();
  Pair.m_Entry.m_CallersAliveAt = Pair.m_Timers.now();
  Pair.advance(milliseconds(600));
  Incarnation Entry = Pair.m_Entry.m_Self.m_Incarnation;
  EXPECT_LE(Pair.m_Agent.m_Links.callersAliveAt(Entry),
            Pair.m_Entry.m_CallersAliveAt);
  EXPECT_GE(Pair.m_Agent.m_Links.callersAliveAt(Entry),
            Pair.m_Entry.m_CallersAliveAt - milliseconds(200));
  EXPECT_GT(Pair.entryConfirmedAt(), Pair.m_Entry.m_CallersAliveAt);
  Pair.m_Entry.m_CallersAliveAt = TimePoint::max();
  Pair.advance(milliseconds(200));
  EXPECT_EQ(Pair.m_Agent.m_Links.callersAliveAt(Entry),
            Pair.entryConfirmedAt());
}

// Whatever is lost, delayed, repeated or reordered, and whenever the agent
// pauses, an entry is not confirmed alive after its end, nor after it has sent
// a message that the agent has not received.
TEST(Links, confirmationIsNeverLaterThanTheEndOfTheEntryOrAMissingMessage) {
  EXPECT_TRUE(rc::check("the confirmation is sound", [] {
    LinkPair Pair(shortPeriods());
    Pair.connect();
    std::vector<TimePoint> SentAt;
    auto Check = [&] {
      std::size_t Received = Pair.m_Agent.m_Received.size();
      if (Received < SentAt.size())
        RC_ASSERT(Pair.entryConfirmedAt() <= SentAt[Received]);
    };
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
    for (int Step : Steps) {
      auto &InFlight = Pair.m_Entry.m_Transport.m_InFlight;
      if (Step == 0) {
        Pair.sendFromEntry(static_cast<std::uint32_t>(SentAt.size()));
        SentAt.push_back(Pair.m_Timers.now());
      } else if (Step == 1 && !InFlight.empty()) {
        InFlight.erase(InFlight.begin());
      } else if (Step == 2 && !InFlight.empty()) {
        InFlight.push_back(InFlight.front());
      } else if (Step == 3 && InFlight.size() > 1) {
        std::swap(InFlight.front(), InFlight.back());
      } else if (Step == 4) {
        Pair.m_Entry.m_Transport.stallConnections();
      } else if (Step == 5) {
        Pair.m_Timers.pause(milliseconds(130));
      } else if (Step == 6) {
        Pair.sendFromAgent(1);
        LinkPair::moveMessages(Pair.m_Agent.m_Transport, Pair.m_Entry);
      } else if (Step == 7) {
        LinkPair::moveMessages(Pair.m_Entry.m_Transport, Pair.m_Agent);
      } else {
        Pair.m_Timers.advance(milliseconds(60));
      }
      Check();
    }
    TimePoint EndedAt = Pair.m_Timers.now();
    Pair.m_Entry.m_Transport.m_IsMessageLost = isAlwaysLost;
    Pair.m_Timers.pause(milliseconds(200));
    LinkPair::moveMessages(Pair.m_Entry.m_Transport, Pair.m_Agent);
    RC_ASSERT(Pair.entryConfirmedAt() <= EndedAt);
    Check();
  }));
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
