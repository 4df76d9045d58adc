#include "job/tests/mocks/clusterfake.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

ResultCode lastCode(const ClusterFake &Cluster) {
  return Cluster.m_Answers.empty() ? ResultCode::Internal
                                   : Cluster.m_Answers.back().m_Code;
}

/// Runs ten jobs, so that the entry learns a task time of half a second.
void learnRunTime(ClusterFake &Cluster) {
  for (int I = 0; I < 10; ++I) {
    Cluster.submit(0, ClusterFake::spec(1));
    Cluster.deliver();
    Cluster.m_Timers.advance(milliseconds(500));
    Cluster.finishAll();
  }
  Cluster.m_Answers.clear();
}

} // namespace

TEST(JobService, answersAreInTheOrderOfThePayloads) {
  ClusterFake Cluster(1, 3, 8);
  Cluster.submit(0, ClusterFake::spec(100));
  Cluster.deliver();
  EXPECT_EQ(Cluster.running(), 24u);
  while (Cluster.finishAll() > 0) {
  }
  ASSERT_EQ(lastCode(Cluster), ResultCode::Ok);
  const auto &Answers = Cluster.m_Answers.back().m_Answers;
  ASSERT_EQ(Answers.size(), 100u);
  for (std::size_t I = 0; I < Answers.size(); ++I)
    EXPECT_EQ(Answers[I], std::to_string(I));
}

TEST(JobService, oneFailedTaskFailsTheJobAndStopsTheRest) {
  ClusterFake Cluster(1, 1, 4);
  JobId Id = Cluster.submit(0, ClusterFake::spec(10));
  Cluster.deliver();
  Cluster.agent(0).m_Executor.finish(TaskId{Id, 0}, ResultCode::TaskFailed);
  Cluster.deliver();
  ASSERT_EQ(Cluster.m_Answers.size(), 1u);
  EXPECT_EQ(lastCode(Cluster), ResultCode::TaskFailed);
  EXPECT_TRUE(Cluster.m_Answers[0].m_Answers.empty());
  EXPECT_EQ(Cluster.agent(0).m_Executor.m_Stopped.size(), 3u);
  Cluster.finishAll(ResultCode::TaskStopped);
  EXPECT_EQ(Cluster.m_Answers.size(), 1u);
  EXPECT_EQ(Cluster.running(), 0u);
}

TEST(JobService, lostAgentMeansOutcomeUnknownAndNoSecondStart) {
  ClusterFake Cluster(1, 2, 2);
  JobId Id = Cluster.submit(0, ClusterFake::spec(3));
  Cluster.deliver();
  Cluster.unlink(Cluster.entry(0), Cluster.agent(0));
  EXPECT_EQ(lastCode(Cluster), ResultCode::AgentLost);
  Cluster.finishAll();
  for (std::uint32_t I = 0; I < 3; ++I)
    EXPECT_LE(Cluster.starts(TaskId{Id, I}), 1);
}

TEST(JobService, startLostWithItsLinkHasUnknownOutcome) {
  ClusterFake Cluster(1, 1, 1);
  Cluster.submit(0, ClusterFake::spec(1));
  Cluster.unlink(Cluster.entry(0), Cluster.agent(0));
  EXPECT_EQ(lastCode(Cluster), ResultCode::AgentLost);
}

TEST(JobService, refusedTaskIsStartedOnAnotherAgent) {
  ClusterFake Cluster(1, 2, 1);
  // The withdrawal of the first agent's credit is still pending, so the entry
  // holds a credit of each agent.
  Cluster.agent(0).m_Slots->drain();
  JobId Id = Cluster.submit(0, ClusterFake::spec(1));
  Cluster.deliver();
  Cluster.finishAll();
  EXPECT_EQ(lastCode(Cluster), ResultCode::Ok);
  EXPECT_EQ(Cluster.starts(TaskId{Id, 0}), 1);
}

// A refused task may be sent again while the refusal is being handled. This
// must not end the job.
TEST(JobService, refusalWithAnotherCreditAvailableKeepsTheJobRunning) {
  ClusterFake Cluster(1, 1, 2);
  Cluster.agent(0).announce(2, "r2");
  JobId Id = Cluster.submit(0, ClusterFake::spec(2));
  Cluster.deliver();
  EXPECT_TRUE(Cluster.m_Answers.empty());
  Cluster.finishAll();
  EXPECT_EQ(lastCode(Cluster), ResultCode::Ok);
  EXPECT_EQ(Cluster.starts(TaskId{Id, 0}), 1);
}

// Replies of agents are matched by task and credit.
TEST(JobService, refusalOfAnEarlierStartIsDropped) {
  ClusterFake Cluster(1, 1, 1);
  JobId Id = Cluster.submit(0, ClusterFake::spec(1));
  Cluster.deliver();
  Message StaleRefusal =
      StartRefused{TaskId{Id, 0}, CreditId{99}, ResultCode::CreditUnknown};
  Cluster.entry(0).m_Jobs->receive(Cluster.agent(0).m_Incarnation,
                                   StaleRefusal);
  EXPECT_EQ(Cluster.entry(0).m_Metrics.of(Metric::LateResults), 1u);
  Cluster.finishAll();
  EXPECT_EQ(lastCode(Cluster), ResultCode::Ok);
  EXPECT_EQ(Cluster.starts(TaskId{Id, 0}), 1);
}

TEST(JobService, deadlineCodeTellsWhetherATaskRan) {
  ClusterFake Cluster(1, 1, 1);
  JobSpec ShortJob = ClusterFake::spec(1);
  ShortJob.m_Deadline = milliseconds(200);
  Cluster.submit(0, ShortJob);
  Cluster.deliver();
  Cluster.submit(0, ShortJob);
  Cluster.advance(milliseconds(300));
  ASSERT_EQ(Cluster.m_Answers.size(), 2u);
  EXPECT_EQ(Cluster.m_Answers[0].m_Code, ResultCode::DeadlineWhileRunning);
  EXPECT_EQ(Cluster.m_Answers[1].m_Code, ResultCode::DeadlineBeforeStart);
}

TEST(JobService, lateAnswerOfAnEndedJobIsCountedAndDropped) {
  ClusterFake Cluster(1, 1, 2);
  JobId Id = Cluster.submit(0, ClusterFake::spec(2));
  Cluster.deliver();
  Cluster.entry(0).m_Jobs->cancel(Id);
  EXPECT_EQ(lastCode(Cluster), ResultCode::CancelledWhileRunning);
  Cluster.finishAll();
  EXPECT_EQ(Cluster.m_Answers.size(), 1u);
  Message LateResult =
      TaskDone{TaskId{Id, 1}, CreditId{1}, ResultCode::Ok, "x", {}, {}};
  Cluster.entry(0).m_Jobs->receive(Cluster.agent(0).m_Incarnation, LateResult);
  EXPECT_EQ(Cluster.entry(0).m_Metrics.of(Metric::LateResults), 1u);
  EXPECT_FALSE(Cluster.entry(0).m_Jobs->cancel(Id));
}

TEST(JobService, resultFromAnAgentThatWasNotSentTheTaskIsDropped) {
  ClusterFake Cluster(1, 2, 1);
  JobId Id = Cluster.submit(0, ClusterFake::spec(1));
  Cluster.deliver();
  std::size_t RunningAgent =
      Cluster.agent(0).m_Executor.m_Running.empty() ? 1 : 0;
  Message WrongResult =
      TaskDone{TaskId{Id, 0}, CreditId{1}, ResultCode::Ok, "wrong", {}, {}};
  Cluster.entry(0).m_Jobs->receive(
      Cluster.agent(1 - RunningAgent).m_Incarnation, WrongResult);
  EXPECT_TRUE(Cluster.m_Answers.empty());
  Cluster.finishAll();
  EXPECT_EQ(Cluster.m_Answers.at(0).m_Answers.at(0), "0");
}

TEST(JobService, refusesJobsThatCannotBeServed) {
  ClusterFake Cluster(1, 1, 1);
  Cluster.submit(0, ClusterFake::spec(0));
  EXPECT_EQ(lastCode(Cluster), ResultCode::TooManyTasks);
  Cluster.submit(0, ClusterFake::spec(1001));
  EXPECT_EQ(lastCode(Cluster), ResultCode::TooManyTasks);
  Cluster.submit(0, ClusterFake::spec(1, "nobody"));
  EXPECT_EQ(lastCode(Cluster), ResultCode::UnknownTeam);
  JobSpec TooLarge = ClusterFake::spec(1);
  TooLarge.m_DeclaredCpus = 65;
  Cluster.submit(0, TooLarge);
  EXPECT_EQ(lastCode(Cluster), ResultCode::ImpossibleJob);
  JobSpec UnknownService = ClusterFake::spec(1);
  UnknownService.m_Service = "nowhere";
  Cluster.submit(0, UnknownService);
  EXPECT_EQ(lastCode(Cluster), ResultCode::UnknownService);
  Cluster.m_Configuration.m_Version = 0;
  Cluster.submit(0, ClusterFake::spec(1));
  EXPECT_EQ(lastCode(Cluster), ResultCode::NoConfiguration);
  EXPECT_EQ(Cluster.entry(0).m_Metrics.of(Metric::TasksSent), 0u);
}

TEST(JobService, answerCanBeFetchedUntilItExpires) {
  ClusterFake Cluster(1, 1, 1);
  JobId Id = Cluster.submit(0, ClusterFake::spec(1));
  Cluster.deliver();
  Cluster.finishAll();
  int Fetched = 0;
  auto Count = [&Fetched](const JobAnswer &) { ++Fetched; };
  EXPECT_TRUE(Cluster.entry(0).m_Jobs->wait(Id, Count));
  EXPECT_EQ(Fetched, 1);
  Cluster.m_Timers.advance(seconds(121));
  EXPECT_FALSE(Cluster.entry(0).m_Jobs->wait(Id, Count));
}

TEST(JobService, demandBringsIdleCreditsFromOtherEntries) {
  ClusterFake Cluster(2, 2, 8);
  Cluster.advance(milliseconds(50));
  Cluster.submit(0, ClusterFake::spec(16));
  Cluster.advance(milliseconds(100));
  EXPECT_GE(Cluster.running(), 14u);
}

TEST(JobService, quotaHoldsAcrossEntries) {
  ClusterFake Cluster(2, 4, 8);
  Cluster.m_Configuration.m_State.m_Teams["vending"].m_Quota = 5;
  for (auto &Entry : Cluster.m_Entries)
    Entry->m_Jobs->reconfigure();
  Cluster.submit(0, ClusterFake::spec(20));
  Cluster.submit(1, ClusterFake::spec(20));
  Cluster.advance(milliseconds(200));
  EXPECT_EQ(Cluster.running(), 5u);
}

TEST(JobService, quotaIsReleasedForEveryTaskOutcome) {
  ClusterFake Cluster(1, 2, 4);
  Cluster.m_Configuration.m_State.m_Teams["vending"].m_Quota = 4;
  Cluster.entry(0).m_Jobs->reconfigure();
  for (int Round = 0; Round < 5; ++Round) {
    JobId Id = Cluster.submit(0, ClusterFake::spec(8));
    Cluster.deliver();
    if (Round == 1)
      Cluster.finishAll(ResultCode::TaskFailed);
    if (Round == 2)
      Cluster.entry(0).m_Jobs->cancel(Id);
    if (Round == 3) {
      Cluster.unlink(Cluster.entry(0), Cluster.agent(0));
      Cluster.link(Cluster.entry(0), Cluster.agent(0));
    }
    Cluster.advance(milliseconds(50));
    while (Cluster.finishAll() > 0) {
    }
  }
  Cluster.submit(0, ClusterFake::spec(8));
  Cluster.advance(milliseconds(50));
  EXPECT_EQ(Cluster.running(), 4u);
}

TEST(JobService, loadPeakIsRefusedEarlyAsNotRun) {
  ClusterFake Cluster(1, 1, 4);
  learnRunTime(Cluster);
  JobSpec UrgentJob = ClusterFake::spec(1);
  UrgentJob.m_Deadline = seconds(2);
  for (int I = 0; I < 100; ++I)
    Cluster.submit(0, UrgentJob);
  // 4 slots complete about 16 tasks of 0.5 s in 2 s. The rest are refused
  // immediately.
  auto RefusedJobs =
      std::count_if(Cluster.m_Answers.begin(), Cluster.m_Answers.end(),
                    [](const JobAnswer &A) {
                      return A.m_Code == ResultCode::DeadlineUnreachable;
                    });
  EXPECT_GE(RefusedJobs, 80);
  EXPECT_LE(RefusedJobs, 92);
}

TEST(JobService, taskThatCannotEndInTimeIsNotStarted) {
  ClusterFake Cluster(1, 1, 1);
  learnRunTime(Cluster);
  JobSpec UrgentJob = ClusterFake::spec(1);
  UrgentJob.m_Deadline = milliseconds(1300);
  Cluster.submit(0, UrgentJob);
  JobId Second = Cluster.submit(0, UrgentJob);
  Cluster.deliver();
  Cluster.m_Timers.advance(seconds(1));
  Cluster.finishAll();
  ASSERT_EQ(Cluster.m_Answers.size(), 2u);
  EXPECT_EQ(lastCode(Cluster), ResultCode::DeadlineBeforeStart);
  EXPECT_EQ(Cluster.starts(TaskId{Second, 0}), 0);
}

TEST(JobService, failingWorkerIsEjectedAfterFewTasks) {
  ClusterFake Cluster(1, 11, 1);
  FakeAgent &BrokenAgent = Cluster.agent(3);
  int FailedJobs = 0;
  for (int Round = 0; Round < 100; ++Round) {
    JobId Id = Cluster.submit(0, ClusterFake::spec(1));
    Cluster.deliver();
    bool IsOnBroken = BrokenAgent.m_Executor.m_Running.count(TaskId{Id, 0}) > 0;
    FailedJobs += IsOnBroken;
    Cluster.finishAll(IsOnBroken ? ResultCode::TaskFailed : ResultCode::Ok);
  }
  EXPECT_LE(FailedJobs, 5);
  EXPECT_EQ(Cluster.entry(0).m_Metrics.of(Metric::WorkersEjected), 1u);
}

TEST(JobService, idleClusterSendsNoMessages) {
  ClusterFake Cluster(3, 3, 8);
  std::uint64_t MessagesBefore = Cluster.m_Messages;
  Cluster.advance(seconds(3));
  EXPECT_EQ(Cluster.m_Messages, MessagesBefore);
}

TEST(JobService, steadyLoadSendsTwoMessagesPerTask) {
  ClusterFake Cluster(1, 4, 8);
  std::uint64_t MessagesBefore = Cluster.m_Messages;
  for (int I = 0; I < 100; ++I) {
    Cluster.submit(0, ClusterFake::spec(16));
    Cluster.deliver();
    Cluster.finishAll();
  }
  EXPECT_EQ(Cluster.m_Messages - MessagesBefore, 3200u);
}
