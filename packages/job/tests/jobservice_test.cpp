#include "job/tests/mocks/cellfake.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

ResultCode lastCode(const CellFake &Cell) {
  return Cell.m_Answers.empty() ? ResultCode::Internal
                                : Cell.m_Answers.back().m_Code;
}

/// Lets the entry learn that a task takes half a second.
void learnRunTime(CellFake &Cell) {
  for (int I = 0; I < 10; ++I) {
    Cell.submit(0, CellFake::spec(1));
    Cell.deliver();
    Cell.m_Timers.advance(milliseconds(500));
    Cell.finishAll();
  }
  Cell.m_Answers.clear();
}

} // namespace

TEST(JobService, answersWholeJobsInOrder) {
  CellFake Cell(1, 3, 8);
  Cell.submit(0, CellFake::spec(100));
  Cell.deliver();
  EXPECT_EQ(Cell.running(), 24u);
  while (Cell.finishAll() > 0) {
  }
  ASSERT_EQ(lastCode(Cell), ResultCode::Ok);
  const auto &Answers = Cell.m_Answers.back().m_Answers;
  ASSERT_EQ(Answers.size(), 100u);
  for (std::size_t I = 0; I < Answers.size(); ++I)
    EXPECT_EQ(Answers[I], std::to_string(I));
}

TEST(JobService, oneFailedTaskFailsTheJobAndStopsTheRest) {
  CellFake Cell(1, 1, 4);
  JobId Id = Cell.submit(0, CellFake::spec(10));
  Cell.deliver();
  Cell.agent(0).m_Executor.finish(TaskId{Id, 0}, ResultCode::TaskFailed);
  Cell.deliver();
  ASSERT_EQ(Cell.m_Answers.size(), 1u);
  EXPECT_EQ(lastCode(Cell), ResultCode::TaskFailed);
  EXPECT_TRUE(Cell.m_Answers[0].m_Answers.empty());
  EXPECT_EQ(Cell.agent(0).m_Executor.m_Stopped.size(), 3u);
  Cell.finishAll(ResultCode::TaskStopped);
  EXPECT_EQ(Cell.m_Answers.size(), 1u);
  EXPECT_EQ(Cell.running(), 0u);
}

TEST(JobService, lostAgentMeansOutcomeUnknownAndNoSecondStart) {
  CellFake Cell(1, 2, 2);
  JobId Id = Cell.submit(0, CellFake::spec(3));
  Cell.deliver();
  Cell.unlink(Cell.entry(0), Cell.agent(0));
  EXPECT_EQ(lastCode(Cell), ResultCode::AgentLost);
  Cell.finishAll();
  for (std::uint32_t I = 0; I < 3; ++I)
    EXPECT_LE(Cell.starts(TaskId{Id, I}), 1);
}

TEST(JobService, startLostWithItsLinkIsUnknownToo) {
  CellFake Cell(1, 1, 1);
  Cell.submit(0, CellFake::spec(1));
  Cell.unlink(Cell.entry(0), Cell.agent(0));
  EXPECT_EQ(lastCode(Cell), ResultCode::AgentLost);
}

TEST(JobService, refusedTaskIsPlacedElsewhere) {
  CellFake Cell(1, 2, 1);
  // The first agent's slot is shown last, so both hold a credit at the entry.
  Cell.agent(0).m_Slots->leave();
  JobId Id = Cell.submit(0, CellFake::spec(1));
  Cell.deliver();
  Cell.finishAll();
  EXPECT_EQ(lastCode(Cell), ResultCode::Ok);
  EXPECT_EQ(Cell.starts(TaskId{Id, 0}), 1);
}

// A refusal that is answered by another start in the same step must not end
// the job.
TEST(JobService, refusalWithAnotherCreditAtHandKeepsTheJobRunning) {
  CellFake Cell(1, 1, 2);
  Cell.agent(0).announce(2, "r2");
  JobId Id = Cell.submit(0, CellFake::spec(2));
  Cell.deliver();
  EXPECT_TRUE(Cell.m_Answers.empty());
  Cell.finishAll();
  EXPECT_EQ(lastCode(Cell), ResultCode::Ok);
  EXPECT_EQ(Cell.starts(TaskId{Id, 0}), 1);
}

// An answer is matched on request, task and credit.
TEST(JobService, refusalOfAnEarlierStartIsDropped) {
  CellFake Cell(1, 1, 1);
  JobId Id = Cell.submit(0, CellFake::spec(1));
  Cell.deliver();
  Message Stale =
      StartRefused{TaskId{Id, 0}, CreditId{99}, ResultCode::CreditUnknown};
  Cell.entry(0).m_Jobs->receive(Cell.agent(0).m_Own, Stale);
  EXPECT_EQ(Cell.entry(0).m_Metrics.of(Metric::LateResults), 1u);
  Cell.finishAll();
  EXPECT_EQ(lastCode(Cell), ResultCode::Ok);
  EXPECT_EQ(Cell.starts(TaskId{Id, 0}), 1);
}

TEST(JobService, deadlineTellsWhetherAnythingRan) {
  CellFake Cell(1, 1, 1);
  JobSpec Short = CellFake::spec(1);
  Short.m_Deadline = milliseconds(200);
  Cell.submit(0, Short);
  Cell.deliver();
  Cell.submit(0, Short);
  Cell.advance(milliseconds(300));
  ASSERT_EQ(Cell.m_Answers.size(), 2u);
  EXPECT_EQ(Cell.m_Answers[0].m_Code, ResultCode::DeadlineWhileRunning);
  EXPECT_EQ(Cell.m_Answers[1].m_Code, ResultCode::DeadlineBeforeStart);
}

TEST(JobService, lateAnswerOfAnEndedJobIsCountedAndDropped) {
  CellFake Cell(1, 1, 2);
  JobId Id = Cell.submit(0, CellFake::spec(2));
  Cell.deliver();
  Cell.entry(0).m_Jobs->cancel(Id);
  EXPECT_EQ(lastCode(Cell), ResultCode::CancelledWhileRunning);
  Cell.finishAll();
  EXPECT_EQ(Cell.m_Answers.size(), 1u);
  Message Stray =
      TaskDone{TaskId{Id, 1}, CreditId{1}, ResultCode::Ok, "x", {}, {}};
  Cell.entry(0).m_Jobs->receive(Cell.agent(0).m_Own, Stray);
  EXPECT_EQ(Cell.entry(0).m_Metrics.of(Metric::LateResults), 1u);
  EXPECT_FALSE(Cell.entry(0).m_Jobs->cancel(Id));
}

TEST(JobService, resultFromAnAgentThatWasNotSentTheTaskIsDropped) {
  CellFake Cell(1, 2, 1);
  JobId Id = Cell.submit(0, CellFake::spec(1));
  Cell.deliver();
  std::size_t Owner = Cell.agent(0).m_Executor.m_Running.empty() ? 1 : 0;
  Message Crossed =
      TaskDone{TaskId{Id, 0}, CreditId{1}, ResultCode::Ok, "wrong", {}, {}};
  Cell.entry(0).m_Jobs->receive(Cell.agent(1 - Owner).m_Own, Crossed);
  EXPECT_TRUE(Cell.m_Answers.empty());
  Cell.finishAll();
  EXPECT_EQ(Cell.m_Answers.at(0).m_Answers.at(0), "0");
}

TEST(JobService, refusesWhatCannotBeServed) {
  CellFake Cell(1, 1, 1);
  Cell.submit(0, CellFake::spec(0));
  EXPECT_EQ(lastCode(Cell), ResultCode::TooManyTasks);
  Cell.submit(0, CellFake::spec(1001));
  EXPECT_EQ(lastCode(Cell), ResultCode::TooManyTasks);
  Cell.submit(0, CellFake::spec(1, "nobody"));
  EXPECT_EQ(lastCode(Cell), ResultCode::UnknownTeam);
  JobSpec Huge = CellFake::spec(1);
  Huge.m_DeclaredCpus = 65;
  Cell.submit(0, Huge);
  EXPECT_EQ(lastCode(Cell), ResultCode::ImpossibleJob);
  JobSpec Elsewhere = CellFake::spec(1);
  Elsewhere.m_Service = "nowhere";
  Cell.submit(0, Elsewhere);
  EXPECT_EQ(lastCode(Cell), ResultCode::UnknownService);
  Cell.m_Configuration.m_Version = 0;
  Cell.submit(0, CellFake::spec(1));
  EXPECT_EQ(lastCode(Cell), ResultCode::NoConfiguration);
  EXPECT_EQ(Cell.entry(0).m_Metrics.of(Metric::TasksSent), 0u);
}

TEST(JobService, endedJobCanBeFetchedUntilItsLifetimeIsOver) {
  CellFake Cell(1, 1, 1);
  JobId Id = Cell.submit(0, CellFake::spec(1));
  Cell.deliver();
  Cell.finishAll();
  int Fetched = 0;
  auto Count = [&Fetched](const JobAnswer &) { ++Fetched; };
  EXPECT_TRUE(Cell.entry(0).m_Jobs->wait(Id, Count));
  EXPECT_EQ(Fetched, 1);
  Cell.m_Timers.advance(seconds(121));
  EXPECT_FALSE(Cell.entry(0).m_Jobs->wait(Id, Count));
}

TEST(JobService, demandBringsIdleCreditsFromOtherEntries) {
  CellFake Cell(2, 2, 8);
  Cell.advance(milliseconds(50));
  Cell.submit(0, CellFake::spec(16));
  Cell.advance(milliseconds(100));
  EXPECT_GE(Cell.running(), 14u);
}

TEST(JobService, quotaHoldsAcrossEntries) {
  CellFake Cell(2, 4, 8);
  Cell.m_Configuration.m_State.m_Teams["vending"].m_Quota = 5;
  for (auto &Known : Cell.m_Entries)
    Known->m_Jobs->reconfigure();
  Cell.submit(0, CellFake::spec(20));
  Cell.submit(1, CellFake::spec(20));
  Cell.advance(milliseconds(200));
  EXPECT_EQ(Cell.running(), 5u);
}

TEST(JobService, quotaIsReturnedHoweverATaskEnds) {
  CellFake Cell(1, 2, 4);
  Cell.m_Configuration.m_State.m_Teams["vending"].m_Quota = 4;
  Cell.entry(0).m_Jobs->reconfigure();
  for (int Round = 0; Round < 5; ++Round) {
    JobId Id = Cell.submit(0, CellFake::spec(8));
    Cell.deliver();
    if (Round == 1)
      Cell.finishAll(ResultCode::TaskFailed);
    if (Round == 2)
      Cell.entry(0).m_Jobs->cancel(Id);
    if (Round == 3) {
      Cell.unlink(Cell.entry(0), Cell.agent(0));
      Cell.link(Cell.entry(0), Cell.agent(0));
    }
    Cell.advance(milliseconds(50));
    while (Cell.finishAll() > 0) {
    }
  }
  Cell.submit(0, CellFake::spec(8));
  Cell.advance(milliseconds(50));
  EXPECT_EQ(Cell.running(), 4u);
}

TEST(JobService, crestIsRefusedEarlyAsNotRun) {
  CellFake Cell(1, 1, 4);
  learnRunTime(Cell);
  JobSpec Urgent = CellFake::spec(1);
  Urgent.m_Deadline = seconds(2);
  for (int I = 0; I < 100; ++I)
    Cell.submit(0, Urgent);
  // 4 slots end about 16 tasks of 0.5 s in 2 s; the rest is refused at once.
  auto Refused = std::count_if(
      Cell.m_Answers.begin(), Cell.m_Answers.end(), [](const JobAnswer &A) {
        return A.m_Code == ResultCode::DeadlineUnreachable;
      });
  EXPECT_GE(Refused, 80);
  EXPECT_LE(Refused, 92);
}

TEST(JobService, taskThatCannotEndInTimeIsNotStarted) {
  CellFake Cell(1, 1, 1);
  learnRunTime(Cell);
  JobSpec Urgent = CellFake::spec(1);
  Urgent.m_Deadline = milliseconds(1300);
  Cell.submit(0, Urgent);
  JobId Second = Cell.submit(0, Urgent);
  Cell.deliver();
  Cell.m_Timers.advance(seconds(1));
  Cell.finishAll();
  ASSERT_EQ(Cell.m_Answers.size(), 2u);
  EXPECT_EQ(lastCode(Cell), ResultCode::DeadlineBeforeStart);
  EXPECT_EQ(Cell.starts(TaskId{Second, 0}), 0);
}

TEST(JobService, failingWorkerIsAvoidedAfterFewTasks) {
  CellFake Cell(1, 11, 1);
  FakeAgent &Broken = Cell.agent(3);
  int FailedJobs = 0;
  for (int Round = 0; Round < 100; ++Round) {
    JobId Id = Cell.submit(0, CellFake::spec(1));
    Cell.deliver();
    bool IsOnBroken = Broken.m_Executor.m_Running.count(TaskId{Id, 0}) > 0;
    FailedJobs += IsOnBroken;
    Cell.finishAll(IsOnBroken ? ResultCode::TaskFailed : ResultCode::Ok);
  }
  EXPECT_LE(FailedJobs, 5);
  EXPECT_EQ(Cell.entry(0).m_Metrics.of(Metric::WorkersEjected), 1u);
}

TEST(JobService, idleCellCostsNoMessages) {
  CellFake Cell(3, 3, 8);
  std::uint64_t Before = Cell.m_Messages;
  Cell.advance(seconds(3));
  EXPECT_EQ(Cell.m_Messages, Before);
}

TEST(JobService, steadyLoadCostsTwoMessagesATask) {
  CellFake Cell(1, 4, 8);
  std::uint64_t Before = Cell.m_Messages;
  for (int I = 0; I < 100; ++I) {
    Cell.submit(0, CellFake::spec(16));
    Cell.deliver();
    Cell.finishAll();
  }
  EXPECT_EQ(Cell.m_Messages - Before, 3200u);
}
