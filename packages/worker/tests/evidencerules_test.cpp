#include "worker/internal/evidencerules.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

constexpr TimePoint StartedAt{seconds(10)};
constexpr std::uint64_t OrderToken = 5;

Run makeRun(RunState State, TimePoint Started = {}) {
  Run Made;
  Made.m_State = State;
  Made.m_StartedAt = Started;
  Made.m_OrderToken = OrderToken;
  return Made;
}

NotListed makeList(TimePoint SentAt, std::uint64_t Token,
                   bool HasAllEnds = true) {
  return {SentAt, Token, HasAllEnds};
}

/// A server that has replied and stated its start.
KnownServer makeServer() {
  return {seconds(100), seconds(100), TimePoint(seconds(20))};
}

} // namespace

TEST(EvidenceRules, OnlyAListSentAfterTheStartProvesThatARunIsOver) {
  cyclamenwalk::Run Active = makeRun(RunState::Running, StartedAt);
  EXPECT_EQ(eventFor(Active, makeList(StartedAt + seconds(1), OrderToken)),
            RunEvent::Missing);
  EXPECT_FALSE(eventFor(Active, makeList(StartedAt, OrderToken)));
  EXPECT_FALSE(
      eventFor(Active, makeList(StartedAt + seconds(1), OrderToken, false)));
}

TEST(EvidenceRules, OnlyAHigherTokenProvesThatAnOrderIsVoid) {
  for (RunState State :
       {RunState::Unconfirmed, RunState::Doubtful, RunState::Stopping}) {
    cyclamenwalk::Run Ordered = makeRun(State);
    EXPECT_EQ(eventFor(Ordered, makeList(StartedAt, OrderToken + 1)),
              RunEvent::Missing);
    EXPECT_FALSE(eventFor(Ordered, makeList(StartedAt, OrderToken)));
    EXPECT_FALSE(eventFor(Ordered, makeList(StartedAt, OrderToken + 1, false)));
  }
}

TEST(EvidenceRules, ARunWhoseReplyIsAwaitedOrThatWaitsIsNotMissing) {
  for (RunState State : {RunState::Waiting, RunState::Starting})
    EXPECT_FALSE(eventFor(makeRun(State), makeList(StartedAt, OrderToken + 1)));
}

TEST(EvidenceRules, AnnouncementsAndFailedConnectionsEndNoSession) {
  KnownServer Known = makeServer();
  EXPECT_EQ(eventFor(Known, ConnectionRefused{}), SessionEvent::NotReached);
  EXPECT_EQ(eventFor(Known, Deregistration{}), SessionEvent::Deregistered);
  EXPECT_FALSE(eventFor(Known, LaterAnnouncement{}));
  EXPECT_EQ(eventFor(Known, LeaseLapsed{}), SessionEvent::BackendLost);
}

TEST(EvidenceRules, OnlyALaterStartInTheServersOwnReplyIsARestart) {
  KnownServer Known = makeServer();
  EXPECT_EQ(eventFor(Known, OwnStartTime{seconds(101)}),
            SessionEvent::Restarted);
  for (Duration Stated :
       {Duration::zero(), Duration(seconds(99)), Duration(seconds(100))})
    EXPECT_FALSE(eventFor(Known, OwnStartTime{Stated}));
  EXPECT_TRUE(isFromEarlierIncarnation(Known, OwnStartTime{seconds(99)}));
  EXPECT_FALSE(isFromEarlierIncarnation(Known, OwnStartTime{Duration::zero()}));
}

TEST(EvidenceRules, TheFirstReplyRefutesAFalseAnnouncement) {
  KnownServer Known;
  Known.m_AnnouncedStart = seconds(100);
  EXPECT_EQ(eventFor(Known, OwnStartTime{seconds(99)}),
            SessionEvent::Misannounced);
  EXPECT_FALSE(eventFor(Known, OwnStartTime{seconds(100)}));
}

TEST(EvidenceRules, AnotherInstanceProvesALossOnlyAfterAReplyOfThisOne) {
  KnownServer Known = makeServer();
  EXPECT_EQ(eventFor(Known, OtherInstanceReplied{Known.m_FirstReplyAt}),
            SessionEvent::BackendLost);
  EXPECT_FALSE(
      eventFor(Known, OtherInstanceReplied{Known.m_FirstReplyAt - seconds(1)}));
  EXPECT_EQ(eventFor(KnownServer{}, OtherInstanceReplied{}),
            SessionEvent::Misannounced);
}

TEST(Evidence, HasNames) {
  EXPECT_EQ(nameOf(OrderOutcome::NotSent), "not_sent");
  EXPECT_EQ(nameOf(OrderOutcome::Unanswered), "unanswered");
  EXPECT_EQ(nameOf(RunEvidence(StartReplied{OrderOutcome::Fenced})),
            "start_fenced");
  EXPECT_EQ(nameOf(RunEvidence(ListedEnd{})), "listed_end");
  EXPECT_EQ(nameOf(ServerEvidence(Deregistration{})), "deregistration");
}
