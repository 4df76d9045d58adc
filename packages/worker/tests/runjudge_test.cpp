#include "worker/internal/runjudge.h"

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

TEST(RunJudge, OnlyAListSentAfterTheStartProvesThatARunIsOver) {
  cyclamenwalk::Run Active = makeRun(RunState::Running, StartedAt);
  EXPECT_EQ(judge(Active, makeList(StartedAt + seconds(1), OrderToken)),
            RunEvent::Missing);
  EXPECT_FALSE(judge(Active, makeList(StartedAt, OrderToken)));
  EXPECT_FALSE(
      judge(Active, makeList(StartedAt + seconds(1), OrderToken, false)));
}

TEST(RunJudge, OnlyAHigherTokenProvesThatAnOrderIsVoid) {
  for (RunState State :
       {RunState::Unconfirmed, RunState::Doubtful, RunState::Stopping}) {
    cyclamenwalk::Run Ordered = makeRun(State);
    EXPECT_EQ(judge(Ordered, makeList(StartedAt, OrderToken + 1)),
              RunEvent::Missing);
    EXPECT_FALSE(judge(Ordered, makeList(StartedAt, OrderToken)));
    EXPECT_FALSE(judge(Ordered, makeList(StartedAt, OrderToken + 1, false)));
  }
}

TEST(RunJudge, ARunWhoseReplyIsAwaitedOrThatWaitsIsNotMissing) {
  for (RunState State : {RunState::Waiting, RunState::Starting})
    EXPECT_FALSE(judge(makeRun(State), makeList(StartedAt, OrderToken + 1)));
}

TEST(RunJudge, AnnouncementsAndFailedConnectionsEndNoSession) {
  KnownServer Known = makeServer();
  EXPECT_EQ(judge(Known, ConnectionRefused{}), SessionEvent::NotReached);
  EXPECT_EQ(judge(Known, Deregistration{}), SessionEvent::Deregistered);
  EXPECT_FALSE(judge(Known, LaterAnnouncement{}));
  EXPECT_EQ(judge(Known, LeaseLapsed{}), SessionEvent::BackendLost);
}

TEST(RunJudge, OnlyALaterStartInTheServersOwnReplyIsARebirth) {
  KnownServer Known = makeServer();
  EXPECT_EQ(judge(Known, OwnStartTime{seconds(101)}), SessionEvent::Reborn);
  for (Duration Stated :
       {Duration::zero(), Duration(seconds(99)), Duration(seconds(100))})
    EXPECT_FALSE(judge(Known, OwnStartTime{Stated}));
  EXPECT_TRUE(isFromEarlierLife(Known, OwnStartTime{seconds(99)}));
  EXPECT_FALSE(isFromEarlierLife(Known, OwnStartTime{Duration::zero()}));
}

TEST(RunJudge, TheFirstReplyRefutesAFalseAnnouncement) {
  KnownServer Known;
  Known.m_AnnouncedStart = seconds(100);
  EXPECT_EQ(judge(Known, OwnStartTime{seconds(99)}),
            SessionEvent::Misannounced);
  EXPECT_FALSE(judge(Known, OwnStartTime{seconds(100)}));
}

TEST(RunJudge, AnotherInstanceProvesALossOnlyAfterAReplyOfThisOne) {
  KnownServer Known = makeServer();
  EXPECT_EQ(judge(Known, OtherInstanceReplied{Known.m_FirstReplyAt}),
            SessionEvent::BackendLost);
  EXPECT_FALSE(
      judge(Known, OtherInstanceReplied{Known.m_FirstReplyAt - seconds(1)}));
  EXPECT_EQ(judge(KnownServer{}, OtherInstanceReplied{}),
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
