#include "worker/tests/mocks/workerservicefixture.h"

using namespace cyclamenwalk;

namespace {

/// What an agent concludes from failed orders, lists and announcements.
class WorkerEvidenceTest : public WorkerServiceTest {};

} // namespace

/// A start whose connection could not be opened says nothing about other runs.
TEST_F(WorkerEvidenceTest, StartThatWasNotSentEndsNoOtherRun) {
  serve();
  place(makePlacement(1));
  m_Control.m_KeepsStarts = true;
  place(makePlacement(1, 2));
  m_Control.answerStarts(OrderOutcome::NotSent);
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_Job.m_Sequence, 2u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::NotStarted);
  m_Control.answerHolds();
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Succeeded);
}

/// Guards against runs given up while they continue: connections to a server
/// are reset and cannot be opened for a moment.
TEST_F(WorkerEvidenceTest, HoldThatWasNotSentEndsNoRunBeforeTheLease) {
  serve();
  place(makePlacement(7));
  m_Control.answerHolds(OrderOutcome::NotSent);
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u) << "only the run that waited is returned";
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::NotStarted);
  place(makePlacement(1, 2));
  ASSERT_EQ(takeResults().size(), 1u) << "accepted while not reached";
  constexpr Duration Step = milliseconds(30);
  Duration MinLease = WorkerSettings{}.m_Lease - Step;
  for (Duration Passed = Step; Passed < MinLease; Passed += Step) {
    m_Timers.advance(Step);
    m_Control.answerHolds(OrderOutcome::NotSent);
  }
  EXPECT_TRUE(takeResults().empty()) << "the lease has not lapsed";
  m_Timers.advance(milliseconds(30));
  m_Control.answerHolds();
  place(makePlacement(1, 3));
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 7u) << "accepts again after a reply";
}

TEST_F(WorkerEvidenceTest, ServerThatIsNotReachedIsLostOneLeaseLater) {
  serve();
  place(makePlacement(1));
  std::size_t Holds = m_Control.m_HoldCount;
  for (int I = 0; I < 38; ++I) {
    m_Control.answerHolds(OrderOutcome::NotSent);
    m_Timers.advance(milliseconds(30));
  }
  EXPECT_LE(m_Control.m_HoldCount - Holds, 40u) << "holds repeated too often";
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::BackendGone);
}

/// Guards against starts over the capacity: the reply that an order was fenced
/// may be the reply to its second copy, while the first has been carried out.
TEST_F(WorkerEvidenceTest, FencedStartKeepsItsResourcesUntilAListLacksIt) {
  serve();
  m_Control.m_KeepsStarts = true;
  place(makePlacement(6));
  m_Control.executeStart(m_Control.m_Starts[0]);
  m_Control.answerStarts(OrderOutcome::Fenced);
  m_Control.m_KeepsStarts = false;
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 6u) << "no resources are free for sure";
  EXPECT_TRUE(takeResults().empty());
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Running.size(), 6u);
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Succeeded);
}

/// Guards against a run that is taken for not started while it is being
/// stopped.
TEST_F(WorkerEvidenceTest, RejectedStartOfARunToBeStoppedProvesNoEnd) {
  for (OrderOutcome Outcome : {OrderOutcome::Fenced, OrderOutcome::StaleRun,
                               OrderOutcome::LeaseExpired}) {
    SCOPED_TRACE(static_cast<int>(Outcome));
    serve();
    m_Control.m_Starts.clear();
    m_Control.m_KeepsStarts = true;
    PlaceTasks Placed = makePlacement(1, 10 + static_cast<unsigned>(Outcome));
    place(Placed);
    ASSERT_EQ(m_Control.m_Starts.size(), 1u);
    Message Stop = StopJob{Placed.m_Job};
    m_Worker->receive(Entry.m_Incarnation, Stop);
    m_Control.executeStart(m_Control.m_Starts[0]);
    m_Control.answerStarts(Outcome);
    EXPECT_TRUE(takeResults().empty());
    m_Control.endRun(m_Control.m_Starts[0].m_Run, RunOutcome::Stopped);
    m_Control.answerHolds();
    auto Results = takeResults();
    ASSERT_EQ(Results.size(), 1u);
    EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Stopped);
  }
}

/// Guards against tasks that run twice: a server goes on for seconds after its
/// deregistration when the reply to that is lost.
TEST_F(WorkerEvidenceTest, DeregistrationEndsNoRunBeforeTheEndIsKnown) {
  serve();
  place(makePlacement(7));
  m_Control.m_LosesStops = true;
  m_Worker->deregister("i-1");
  EXPECT_EQ(m_Control.m_Stops.size(), 6u);
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u) << "only the run that waited is returned";
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::NotStarted);
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
  takeResults();
  m_Control.answerHolds();
  ASSERT_FALSE(m_Control.m_Holds.empty());
  EXPECT_EQ(m_Control.m_Holds[0].m_Order.m_LeaseUntil, Duration::zero())
      << "the lease is not renewed any more";
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Succeeded);
  for (int I = 0; I < 40; ++I) {
    m_Timers.advance(milliseconds(30));
    m_Control.answerHolds(OrderOutcome::NotSent);
  }
  EXPECT_EQ(takeResults().size(), 5u) << "the lease has lapsed";
  EXPECT_TRUE(m_Control.m_Holds.empty());
}

/// A server that goes on after a deregistration is used again once the runs of
/// the closed session are over.
TEST_F(WorkerEvidenceTest, ServerIsUsedAgainAfterAFalseDeregistration) {
  serve();
  place(makePlacement(1));
  m_Worker->deregister("i-1");
  m_Worker->announce(makeAnnouncement());
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 1u) << "a run is being stopped";
  m_Control.answerHolds();
  m_Worker->announce(makeAnnouncement());
  m_Control.answerHolds();
  place(makePlacement(1, 3));
  EXPECT_EQ(m_Control.m_Starts.size(), 2u);
}

/// Guards against tasks that run twice: a heartbeat of another writer under the
/// name of the server, with a later start.
TEST_F(WorkerEvidenceTest, LaterAnnouncementAloneEndsNoRun) {
  m_Control.m_InstanceStartedAt = seconds(100);
  serve();
  place(makePlacement(1));
  BackendAnnouncement False = makeAnnouncement();
  False.m_InstanceStartedAt = seconds(200);
  False.m_Service = "unknown";
  m_Worker->announce(False);
  EXPECT_TRUE(takeResults().empty());
  ASSERT_GE(m_Control.m_Holds.size(), 2u) << "the server itself is asked";
  m_Control.answerHolds();
  m_Control.answerHolds();
  m_Worker->announce(makeAnnouncement());
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 2u) << "the server stays in use";
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Succeeded);
}

TEST_F(WorkerEvidenceTest, ServerThatRestartedIsUsedWithoutAnotherHeartbeat) {
  m_Control.m_InstanceStartedAt = seconds(100);
  serve();
  place(makePlacement(1));
  m_Timers.advance(milliseconds(1));
  m_Control.restart(seconds(200));
  m_Worker->announce(makeAnnouncement());
  m_Control.answerHolds();
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::BackendGone);
  m_Control.answerHolds();
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 2u);
}

/// A run that the later incarnation has started, before the agent knew of it,
/// is no run of the earlier incarnation.
TEST_F(WorkerEvidenceTest, RunOfTheNewIncarnationIsNotTakenForEnded) {
  m_Control.m_InstanceStartedAt = seconds(100);
  serve();
  m_Control.restart(seconds(200));
  place(makePlacement(1));
  ASSERT_EQ(m_Control.m_Running.size(), 1u);
  m_Control.m_LosesStops = true;
  m_Control.answerHolds();
  m_Control.answerHolds();
  EXPECT_TRUE(takeResults().empty());
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Succeeded);
}

/// The first announcement that an agent sees may be a false one.
TEST_F(WorkerEvidenceTest, ServerReplacesAFalseAnnouncementOfALaterStart) {
  m_Control.m_InstanceStartedAt = seconds(100);
  BackendAnnouncement False = makeAnnouncement();
  False.m_InstanceStartedAt = seconds(200);
  False.m_Capacity = {640000, 262144, 0};
  m_Worker->announce(False);
  m_Worker->announce(makeAnnouncement());
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(1));
  m_Control.answerHolds();
  place(makePlacement(7));
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
}

TEST_F(WorkerEvidenceTest, OtherInstanceProvesNothingBeforeTheFirstReply) {
  m_Worker->announce(makeAnnouncement("i-2"));
  m_Control.answerHolds(OrderOutcome::WrongInstance);
  EXPECT_TRUE(m_Control.m_Holds.empty());
  m_Worker->announce(makeAnnouncement("i-2"));
  m_Control.answerHolds();
  place(makePlacement(1));
  EXPECT_EQ(m_Control.m_Starts.size(), 1u);
}

/// Guards against tasks that run twice: a session is kept when another instance
/// is announced, until that one replies at its address.
TEST_F(WorkerEvidenceTest, AnotherInstanceEndsNoRunUntilItReplies) {
  serve();
  place(makePlacement(1));
  m_Worker->announce(makeAnnouncement("i-2"));
  EXPECT_TRUE(takeResults().empty());
  m_Timers.advance(milliseconds(1));
  m_Control.answerHolds();
  m_Control.answerHolds(OrderOutcome::WrongInstance);
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::BackendGone);
}

/// A server in use has one service; a false heartbeat must not take it away.
TEST_F(WorkerEvidenceTest, AnnouncementOfAnotherServiceIsIgnoredWhileInUse) {
  serve();
  place(makePlacement(1));
  BackendAnnouncement False = makeAnnouncement();
  False.m_Service = "unknown";
  False.m_Sequence = 1000;
  m_Worker->announce(False);
  m_Worker->announce(makeAnnouncement());
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 2u);
}

/// A heartbeat that names another address does not redirect the session; the
/// address is used once the server has been lost at the first one.
TEST_F(WorkerEvidenceTest, ChangedAddressIsUsedAfterTheFirstOneIsLost) {
  serve();
  place(makePlacement(1));
  BackendAnnouncement Moved = makeAnnouncement();
  Moved.m_Address = "10.0.0.9:81";
  m_Worker->announce(Moved);
  EXPECT_TRUE(takeResults().empty());
  for (int I = 0;
       I < 60 &&
       m_Control.m_Holds.back().m_Order.m_Target.m_Address != Moved.m_Address;
       ++I) {
    m_Control.answerHolds(OrderOutcome::Unanswered);
    m_Timers.advance(milliseconds(30));
  }
  ASSERT_EQ(m_Control.m_Holds.size(), 1u);
  EXPECT_EQ(m_Control.m_Holds[0].m_Order.m_Target.m_Address, Moved.m_Address);
  EXPECT_EQ(takeResults().size(), 1u);
}

/// Guards against orders of an earlier session that are carried out after the
/// next one has listed the runs.
TEST_F(WorkerEvidenceTest, NextSessionFencesAllOrdersOfTheEarlierOne) {
  serve();
  m_Control.m_DelaysStarts = true;
  place(makePlacement(1));
  m_Control.m_DelaysStarts = false;
  StartOrder Late = m_Control.m_DelayedStarts.at(0);
  Late.m_Target.m_FencingToken =
      m_Control.m_Holds.back().m_Order.m_Target.m_FencingToken;
  for (int I = 0; I < 60; ++I) {
    m_Timers.advance(milliseconds(30));
    m_Control.answerHolds(OrderOutcome::Unanswered);
  }
  m_Control.restart({});
  serve();
  EXPECT_EQ(m_Control.executeStart(Late), OrderOutcome::Fenced);
}

/// Guards against a task that runs again after it has ended: a server lists no
/// more than 500 ends at a time.
TEST_F(WorkerEvidenceTest, RunMissingFromAnIncompleteListHasNotEnded) {
  serve();
  place(makePlacement(1));
  m_Timers.advance(milliseconds(1));
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(1));
  for (std::uint32_t I = 0; I < MaxListedEnds; ++I)
    m_Control.endRun({"earlier." + std::to_string(I), 1}, RunOutcome::Stopped);
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  EXPECT_TRUE(takeResults().empty());
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Succeeded);
}
