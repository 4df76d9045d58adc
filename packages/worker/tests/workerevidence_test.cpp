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
  for (int I = 0; I < 30; ++I) {
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
