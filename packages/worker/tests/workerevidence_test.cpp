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
  for (Duration Age{}; Age < WorkerSettings{}.m_Lease; Age += milliseconds(30)) {
    m_Timers.advance(milliseconds(30));
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
TEST_F(WorkerEvidenceTest, DeregistrationEndsNoRunBeforeItIsProven) {
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
