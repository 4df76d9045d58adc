#include "worker/tests/mocks/workerservicefixture.h"

using namespace cyclamenwalk;

/// An evacuated domain starts nothing: what waits goes back to its entry, which
/// places it elsewhere, and what runs may end.
TEST_F(WorkerServiceTest, EvacuationReturnsWaitingRunsAndLetsOthersEnd) {
  serve();
  place(makePlacement(8));
  ASSERT_EQ(m_Control.m_Starts.size(), 6u);
  m_Worker->setEvacuated(true);
  auto Returned = takeResults();
  ASSERT_EQ(Returned.size(), 2u);
  EXPECT_EQ(Returned[0].m_RunOutcome, RunOutcome::NotStarted);
  m_Control.endRun({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  auto Ended = takeResults();
  ASSERT_EQ(Ended.size(), 1u);
  EXPECT_EQ(Ended[0].m_RunOutcome, RunOutcome::Succeeded);
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
  EXPECT_EQ(m_Metrics.of(Metric::EvacuationRefusals), 2u);
}

/// A placement may be on its way when the agent learns of the evacuation.
TEST_F(WorkerServiceTest, EvacuationRefusesPlacementsUntilItIsWithdrawn) {
  serve();
  m_Worker->setEvacuated(true);
  place(makePlacement(2));
  EXPECT_TRUE(m_Control.m_Starts.empty());
  EXPECT_EQ(takeResults().size(), 2u);
  m_Worker->setEvacuated(false);
  place(makePlacement(2, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 2u);
}

/// A start whose order never reached the server would otherwise be tried again
/// there after the evacuation.
TEST_F(WorkerServiceTest, EvacuationReturnsRunsWhoseStartFailed) {
  serve();
  m_Control.m_KeepsStarts = true;
  place(makePlacement(1));
  ASSERT_EQ(m_Control.m_Starts.size(), 1u);
  m_Worker->setEvacuated(true);
  m_Control.answerStarts(OrderOutcome::Fenced);
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(20));
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 1u);
  auto Returned = takeResults();
  ASSERT_EQ(Returned.size(), 1u);
  EXPECT_EQ(Returned[0].m_RunOutcome, RunOutcome::NotStarted);
}

/// A backend server that registers in an evacuated domain gets no work.
TEST_F(WorkerServiceTest, EvacuationHoldsForServersThatStartLater) {
  m_Worker->setEvacuated(true);
  serve();
  place(makePlacement(1));
  EXPECT_TRUE(m_Control.m_Starts.empty());
  m_Timers.advance(milliseconds(200));
  ASSERT_FALSE(m_Links.sent<RunResults>().empty());
  EXPECT_FALSE(m_Links.sent<RunResults>().back().second.m_Report.m_IsAccepting);
  m_Links.m_Sent.clear();
  m_Worker->setEvacuated(false);
  m_Timers.advance(milliseconds(20));
  ASSERT_FALSE(m_Links.sent<WorkerReport>().empty());
  EXPECT_TRUE(m_Links.sent<WorkerReport>().back().second.m_IsAccepting);
}
