#include "worker/tests/mocks/workerservicefixture.h"

using namespace cyclamenwalk;

TEST_F(WorkerServiceTest, StartsRunsThatFitAndQueuesTheOthers) {
  serve();
  place(makePlacement(8));
  EXPECT_EQ(m_Control.m_Running.size(), 6u);
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 7u);
  EXPECT_LE(m_Control.m_Running.size(), 6u);
}

TEST_F(WorkerServiceTest, UrgentLargeTaskIsNotOvertaken) {
  serve();
  place(makePlacement(6));
  PlaceTasks Large = makePlacement(1, 2);
  Large.m_Required = {30000, 64, 0};
  Large.m_OrderWithin = milliseconds(10);
  place(Large);
  PlaceTasks Small = makePlacement(1, 3);
  Small.m_Required = {1000, 64, 0};
  place(Small);
  for (std::uint32_t I = 0; I < 2; ++I)
    m_Control.endRun({"job1." + std::to_string(I), 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
  m_Control.endRun({"job1.2", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 8u);
  EXPECT_EQ(m_Control.m_Starts[6].m_Run.m_Task, "job2.0");
}

/// Guards against free resources left unused at peak load: a large task that
/// need not start yet leaves the free resources to smaller ones.
TEST_F(WorkerServiceTest, LargeTaskThatCanWaitIsOvertaken) {
  serve();
  place(makePlacement(6));
  PlaceTasks Large = makePlacement(1, 2);
  Large.m_Required = {30000, 64, 0};
  Large.m_OrderWithin = milliseconds(400);
  place(Large);
  PlaceTasks Small = makePlacement(1, 3);
  Small.m_Required = {1000, 64, 0};
  Small.m_OrderWithin = milliseconds(500);
  place(Small);
  EXPECT_EQ(m_Control.m_Starts.size(), 7u);
  EXPECT_EQ(m_Control.m_Starts.back().m_Run.m_Task, "job3.0");
}

/// Entries that have not yet learned that the server is being probed may place
/// more tasks than it may start.
TEST_F(WorkerServiceTest, ProbedServerReturnsTasksAboveItsLimit) {
  serve();
  place(makePlacement(3));
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(200));
  m_Control.answerHolds();
  for (std::uint32_t I = 0; I < 3; ++I)
    m_Control.endRun({"job1." + std::to_string(I), 1}, RunOutcome::Stopped);
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(750));
  m_Control.answerHolds();
  takeResults();
  place(makePlacement(3, 3));
  EXPECT_EQ(m_Control.m_Starts.size(), 4u);
  EXPECT_EQ(takeResults().size(), 2u);
}

/// After a hang, progress of a long run counts as a probe before the run ends.
TEST_F(WorkerServiceTest, ProgressAfterAStallCountsAsAProbe) {
  serve();
  place(makePlacement(1));
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(200));
  m_Control.answerHolds();
  m_Control.endRun({"job1.0", 1}, RunOutcome::Stopped);
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(750));
  m_Control.answerHolds();
  for (std::uint64_t Job = 2; Job <= 3; ++Job) {
    place(makePlacement(1, Job));
    m_Control.answerHolds();
    m_Timers.advance(milliseconds(30));
    m_Control.m_Running[{"job" + std::to_string(Job) + ".0", 1}] = 10;
    m_Control.answerHolds();
  }
  place(makePlacement(3, 4));
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
}

TEST_F(WorkerServiceTest, NoRunStartsBeforeOrphanedRunsAreStopped) {
  m_Control.m_Running[{"old.0", 3}] = 40;
  m_Worker->announce(makeAnnouncement());
  m_Control.answerHolds();
  place(makePlacement(1));
  EXPECT_TRUE(m_Control.m_Starts.empty());
  ASSERT_EQ(m_Control.m_Stops.size(), 1u);
  EXPECT_EQ(m_Control.m_Stops[0], (RunId{"old.0", 3}));
  m_Timers.advance(milliseconds(40));
  m_Control.answerHolds();
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 1u);
  EXPECT_EQ(m_Control.m_Starts[0].m_Run.m_Task, "job2.0");
}

TEST_F(WorkerServiceTest, LeaseOfOrphanedRunsIsNotRenewed) {
  m_Control.m_Running[{"old.0", 3}] = 40;
  m_Worker->announce(makeAnnouncement());
  ASSERT_EQ(m_Control.m_Holds.size(), 1u);
  EXPECT_EQ(m_Control.m_Holds[0].m_Order.m_LeaseUntil, Duration::zero());
}

TEST_F(WorkerServiceTest, UnansweredStartKeepsItsResourcesUntilFenced) {
  serve();
  m_Control.m_DelaysStarts = true;
  place(makePlacement(6));
  m_Control.m_DelaysStarts = false;
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 6u)
      << "the delayed orders may still take effect";
  EXPECT_GT(m_Control.m_Token, FirstToken);
  m_Control.answerHolds();
  // The delayed orders are void now, so all seven runs are queued again.
  for (const StartOrder &Delayed : m_Control.m_DelayedStarts)
    EXPECT_EQ(m_Control.executeStart(Delayed), OrderOutcome::Fenced);
  EXPECT_EQ(m_Control.m_Running.size(), 6u);
}

TEST_F(WorkerServiceTest, UnansweredStartThatIsListedContinues) {
  serve();
  m_Control.m_DelaysStarts = true;
  place(makePlacement(1));
  m_Control.m_DelaysStarts = false;
  m_Control.m_Running[{"job1.0", 1}] = 1;
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 1u);
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Succeeded);
}

TEST_F(WorkerServiceTest, AcknowledgesListedEnds) {
  serve();
  place(makePlacement(2));
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.endRun({"job1.1", 1}, RunOutcome::Failed);
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Acknowledged, 2u);
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 2u);
  EXPECT_EQ(Results[1].m_RunOutcome, RunOutcome::Failed);
}

TEST_F(WorkerServiceTest, LostEntryStopsItsRuns) {
  serve();
  place(makePlacement(8));
  place(makePlacement(1, 5), OtherEntry);
  m_Worker->entryDown(Entry);
  EXPECT_EQ(m_Control.m_Stops.size(), 6u);
  m_Control.answerHolds();
  ASSERT_EQ(m_Control.m_Running.size(), 1u);
  EXPECT_EQ(m_Control.m_Running.begin()->first.m_Task, "job5.0");
}

TEST_F(WorkerServiceTest, ExpiredRunsDoNotStartAfterAProcessPause) {
  serve();
  place(makePlacement(7));
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Timers.pause(seconds(4));
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 2u);
  EXPECT_EQ(Results[1].m_RunOutcome, RunOutcome::NotStarted);
}

TEST_F(WorkerServiceTest, LeavingServerGetsNoNewRuns) {
  serve();
  place(makePlacement(7));
  BackendAnnouncement Leaving = makeAnnouncement();
  Leaving.m_IsLeaving = true;
  m_Worker->announce(Leaving);
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 3u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::NotStarted);
}

TEST_F(WorkerServiceTest, OutdatedAnnouncementDoesNotUndoLeaving) {
  serve();
  BackendAnnouncement Early = makeAnnouncement();
  BackendAnnouncement Leaving = makeAnnouncement();
  Leaving.m_IsLeaving = true;
  m_Worker->announce(Leaving);
  m_Worker->announce(Early);
  place(makePlacement(1));
  EXPECT_TRUE(m_Control.m_Starts.empty());
}

TEST_F(WorkerServiceTest, RestartedServerOfTheSameNameHasLostItsRuns) {
  m_Control.m_InstanceStartedAt = seconds(100);
  serve();
  place(makePlacement(1));
  m_Control.m_InstanceStartedAt = seconds(200);
  m_Control.m_Running.clear();
  m_Control.answerHolds();
  EXPECT_TRUE(takeResults().empty()) << "the hold was sent before the start";
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::BackendGone);
  m_Worker->announce(makeAnnouncement());
  m_Control.answerHolds();
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 2u);
}

TEST_F(WorkerServiceTest, SilentServerIsLostOnlyAfterItsLease) {
  serve();
  place(makePlacement(1));
  m_Control.answerHolds(OrderOutcome::Unanswered);
  EXPECT_TRUE(takeResults().empty());
  for (int I = 0; I < 60; ++I) {
    m_Timers.advance(milliseconds(30));
    m_Control.answerHolds(OrderOutcome::Unanswered);
  }
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::BackendGone);
}

TEST_F(WorkerServiceTest, StalledRunsAreStoppedAndTheServerIsSuspended) {
  serve();
  place(makePlacement(3));
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(200));
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Stops.size(), 3u);
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 3u);
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(750));
  m_Control.answerHolds();
  place(makePlacement(3, 3));
  EXPECT_EQ(m_Control.m_Starts.size(), 4u) << "one probe after the pause";
}

TEST_F(WorkerServiceTest, RunsThatProgressAreNotStopped) {
  serve();
  place(makePlacement(1));
  for (std::uint32_t Progress = 1; Progress < 40; ++Progress) {
    m_Control.m_Running[{"job1.0", 1}] = Progress;
    m_Control.answerHolds();
    m_Timers.advance(milliseconds(30));
  }
  EXPECT_TRUE(m_Control.m_Stops.empty());
}

TEST_F(WorkerServiceTest, RunThatCannotMeetItsDeadlineIsReported) {
  serve();
  place(makePlacement(1));
  m_Timers.advance(milliseconds(100));
  m_Control.m_Running[{"job1.0", 1}] = 2;
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(130));
  m_Control.m_Running[{"job1.0", 1}] = 4;
  m_Control.answerHolds();
  EXPECT_EQ(m_Links.sent<DeadlineMissForecast>().size(), 1u);
}

TEST_F(WorkerServiceTest, StalledRunIsNotReportedAsDeadlineMiss) {
  serve();
  place(makePlacement(1));
  m_Timers.advance(milliseconds(110));
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(130));
  m_Control.answerHolds();
  EXPECT_TRUE(m_Links.sent<DeadlineMissForecast>().empty());
  m_Timers.advance(milliseconds(20));
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Stops.size(), 1u);
}

TEST_F(WorkerServiceTest, ServerThatFailsEachRunIsSuspended) {
  serve();
  for (std::uint64_t Job = 1; Job <= 4; ++Job) {
    place(makePlacement(1, Job));
    m_Control.endRun({"job" + std::to_string(Job) + ".0", 1},
                     RunOutcome::Failed);
    m_Control.answerHolds();
  }
  place(makePlacement(1, 9));
  EXPECT_EQ(m_Control.m_Starts.size(), 4u);
}

TEST_F(WorkerServiceTest, FailuresOfOneJobCountOnce) {
  serve();
  place(makePlacement(6));
  for (std::uint32_t I = 0; I < 6; ++I)
    m_Control.endRun({"job1." + std::to_string(I), 1}, RunOutcome::Failed);
  m_Control.answerHolds();
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 7u);
}

/// The time of day was set back while the agent was down, so the token of its
/// new incarnation is below that of its earlier one.
TEST_F(WorkerServiceTest,
       TokenPassesThatOfAnEarlierIncarnationAfterTheClockWentBack) {
  constexpr std::uint64_t SeenToken = FirstToken + 10'000;
  constexpr std::uint64_t UnseenRaises = 50;
  m_Control.m_Token = SeenToken;
  m_Worker->announce(makeAnnouncement());
  m_Control.answerHolds(OrderOutcome::Fenced);
  m_Timers.advance(milliseconds(100));
  ASSERT_FALSE(m_Control.m_Holds.empty());
  m_Control.answerHolds();
  place(makePlacement(1));
  ASSERT_EQ(m_Control.m_Starts.size(), 1u);
  StartOrder LateOrder = m_Control.m_Starts.front();
  LateOrder.m_Run = {"old.0", 1};
  LateOrder.m_Target.m_FencingToken = SeenToken + UnseenRaises;
  EXPECT_EQ(m_Control.executeStart(LateOrder), OrderOutcome::Fenced)
      << "an order of the earlier incarnation arrives late";
}

/// An agent releases the entries by which it found those that it selected.
TEST_F(WorkerServiceTest, WithdrawsFromAnEntryAfterItsRunsHaveEnded) {
  serve();
  place(makePlacement(1));
  m_Timers.advance(milliseconds(200));
  m_Links.m_Sent.clear();
  m_Worker->withdrawFrom(Entry.m_Incarnation);
  m_Timers.advance(milliseconds(50));
  auto Reports = m_Links.sent<WorkerReport>();
  ASSERT_FALSE(Reports.empty());
  EXPECT_EQ(Reports[0].first, Entry.m_Incarnation);
  EXPECT_FALSE(Reports[0].second.m_IsAccepting);
  place(makePlacement(1, 2));
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::NotStarted);
  m_Timers.advance(seconds(2));
  EXPECT_TRUE(m_Links.m_Disconnected.empty()) << "a run has not ended";
  m_Control.endRun(m_Control.m_Starts[0].m_Run, RunOutcome::Succeeded);
  m_Control.answerHolds();
  m_Timers.advance(seconds(2));
  EXPECT_EQ(m_Links.m_Disconnected, std::vector{Entry.m_Incarnation});
}

TEST_F(WorkerServiceTest, StaleRunIsReportedOnceItsOrderIsVoid) {
  serve();
  m_Control.m_RefusesAsStale = true;
  place(makePlacement(1));
  EXPECT_TRUE(takeResults().empty());
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::StaleRun);
}

/// A connection is reset after the server has taken a start order and before it
/// has answered. The HTTP client sends the order again, and meets the end of
/// the run that it has started.
TEST_F(WorkerServiceTest, RunWhoseOrderWasSentTwiceIsNotTakenForNotStarted) {
  serve();
  m_Control.m_RefusesAsStale = true;
  place(makePlacement(1));
  ASSERT_EQ(m_Control.m_Starts.size(), 1u);
  m_Control.executeStart(m_Control.m_Starts[0]);
  m_Control.endRun(m_Control.m_Starts[0].m_Run, RunOutcome::Succeeded);
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Succeeded);
}
