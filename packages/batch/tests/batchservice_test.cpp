#include "batch/batchmodule.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "membership/tests/mocks/linksfake.h"
#include "statechart/chartfolder.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

constexpr Resources Capacity{64000, 262144, 0};
constexpr Resources TaskResources{8000, 64, 0};
constexpr Incarnation Entry{1};
/// A lost agent renews the lease of its runs up to 1150 ms from when this entry
/// was alive; the server's clock may be slow and a stop takes 50 ms.
constexpr Duration LeaseAfterLoss = milliseconds(1229);
/// Callers send a job again after this time.
constexpr Duration ResendTime = milliseconds(1300);

/// A batch service whose agents are simulated by the test.
class BatchServiceTest : public testing::Test {
protected:
  BatchServiceTest()
      : m_Charts(CW_CHART_DIR),
        m_Jobs(makeBatchService(Entry, BatchSettings{}, BatchHooks{},
                                {m_Charts, m_Links, m_Timers, m_Metrics})) {}

  static Peer agent(std::uint64_t Id) {
    return {
        "agent-" + std::to_string(Id), {Id}, "10.0.0.9:1", "z", Role::Agent};
  }

  WorkerReport report(std::int64_t FreeMilliCores = Capacity.m_MilliCores) {
    WorkerReport Report;
    Report.m_Service = "gatepost";
    Report.m_Capacity = Capacity;
    Report.m_Free = {FreeMilliCores, Capacity.m_MemoryMb, 0};
    Report.m_IsAccepting = true;
    Report.m_MeanRemaining = milliseconds(200);
    Report.m_PlacementsSeen = m_PlacementsSeen;
    return Report;
  }

  void addWorker(std::uint64_t Id, WorkerReport Report) {
    m_Jobs->agentUp(agent(Id));
    receive(Id, std::move(Report));
  }

  void receive(std::uint64_t Id, Message Body) { m_Jobs->receive({Id}, Body); }

  BatchSpec spec(std::uint32_t Tasks, const std::string &Name = "a1") {
    BatchSpec Spec;
    Spec.m_Name = Name;
    Spec.m_BackendName = Name + ".0.0";
    Spec.m_Route = "r-1";
    Spec.m_Service = "gatepost";
    Spec.m_Tasks = Tasks;
    Spec.m_Required = TaskResources;
    Spec.m_EstimatedRunTime = milliseconds(100);
    Spec.m_Deadline = seconds(2);
    Spec.m_MaxAttempts = 2;
    Spec.m_SlackFactor = 1.6;
    Spec.m_TargetLatency = milliseconds(60);
    return Spec;
  }

  JobId submit(BatchSpec Spec) {
    return m_Jobs->submit(std::move(Spec), [this](const BatchAnswer &Answer) {
      m_Answers.push_back(Answer);
    });
  }

  /// Returns the placements sent since the last call and clears all sent
  /// messages.
  std::vector<std::pair<Incarnation, PlaceTasks>> placements() {
    auto Placements = m_Links.sent<PlaceTasks>();
    m_Links.m_Sent.clear();
    return Placements;
  }

  void reportResult(std::uint64_t Agent, JobId Job, std::uint32_t Index,
                    std::uint32_t Run, RunOutcome Outcome,
                    Duration StartMargin = milliseconds(50)) {
    RunResults Body;
    Body.m_RunResults.push_back(
        {Job, Index, Run, Outcome, milliseconds(90), StartMargin});
    Body.m_Report = report();
    receive(Agent, std::move(Body));
  }

  /// Submits a job that must be answered at once and not be placed.
  void expectHeld(BatchSpec Spec) {
    m_Links.m_Sent.clear();
    m_Answers.clear();
    submit(std::move(Spec));
    EXPECT_TRUE(placements().empty());
    ASSERT_EQ(m_Answers.size(), 1u);
    EXPECT_EQ(m_Answers[0].m_Code, ResultCode::EarlierRunsStopping);
  }

  ChartFolder m_Charts;
  LinksFake m_Links;
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  std::unique_ptr<IBatchService> m_Jobs;
  std::vector<BatchAnswer> m_Answers;
  /// Tasks that the workers' reports account for.
  std::uint64_t m_PlacementsSeen = 0;
};

TEST_F(BatchServiceTest, AnswersWhenTheLastTaskHasEnded) {
  addWorker(11, report());
  JobId Job = submit(spec(2));
  ASSERT_EQ(placements().size(), 1u);
  reportResult(11, Job, 0, 1, RunOutcome::Succeeded);
  EXPECT_TRUE(m_Answers.empty());
  reportResult(11, Job, 1, 1, RunOutcome::Succeeded);
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(m_Answers[0].m_Code, ResultCode::Ok);
}

TEST_F(BatchServiceTest, SpreadsAJobOverWorkersWithFreeResources) {
  addWorker(11, report(8000));
  addWorker(12, report(24000));
  submit(spec(4));
  auto Sent = placements();
  ASSERT_EQ(Sent.size(), 2u);
  std::size_t IndexOf12 = Sent[0].first == Incarnation{12} ? 0 : 1;
  EXPECT_EQ(Sent[IndexOf12].second.m_Tasks.size(), 3u);
}

TEST_F(BatchServiceTest, RetriesAFailedTaskOnAnotherWorkerUpToMaxAttempts) {
  addWorker(11, report());
  addWorker(12, report());
  JobId Job = submit(spec(1));
  auto First = placements();
  ASSERT_EQ(First.size(), 1u);
  reportResult(First[0].first.m_Value, Job, 0, 1, RunOutcome::Failed);
  auto Second = placements();
  ASSERT_EQ(Second.size(), 1u);
  EXPECT_NE(Second[0].first, First[0].first);
  EXPECT_EQ(Second[0].second.m_Tasks[0].m_Run, 2u);
  reportResult(Second[0].first.m_Value, Job, 0, 2, RunOutcome::Failed);
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(m_Answers[0].m_Code, ResultCode::TaskFailed);
}

TEST_F(BatchServiceTest, AnInterruptedRunDoesNotCountAsAnAttempt) {
  addWorker(11, report());
  addWorker(12, report());
  JobId Job = submit(spec(1));
  std::uint32_t Run = 1;
  for (; Run <= 4; ++Run) {
    auto Sent = placements();
    ASSERT_EQ(Sent.size(), 1u);
    reportResult(Sent[0].first.m_Value, Job, 0, Run, RunOutcome::Stopped);
  }
  EXPECT_TRUE(m_Answers.empty());
}

TEST_F(BatchServiceTest, AnswersDidNotRunOnlyIfNoTaskHasStarted) {
  addWorker(11, report());
  JobId Job = submit(spec(2));
  WorkerReport NotAccepting = report();
  NotAccepting.m_IsAccepting = false;
  RunResults Body;
  Body.m_Report = NotAccepting;
  Body.m_RunResults = {{Job, 0, 1, RunOutcome::NotStarted, {}, {}}};
  receive(11, Body);
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(outcomeOf(m_Answers[0].m_Code), Outcome::OutcomeUnknown)
      << "the other task may have started";

  addWorker(12, report());
  JobId Second = submit(spec(1, "b2"));
  Body.m_RunResults = {{Second, 0, 1, RunOutcome::NotStarted, {}, {}}};
  receive(12, Body);
  ASSERT_EQ(m_Answers.size(), 2u);
  EXPECT_EQ(outcomeOf(m_Answers[1].m_Code), Outcome::DidNotRun);
  EXPECT_TRUE(m_Answers[1].m_RetryAfter);
}

TEST_F(BatchServiceTest, ALostAgentMakesTheOutcomeUnknownAndStopsTheRest) {
  addWorker(11, report(8000));
  addWorker(12, report(8000));
  submit(spec(2));
  ASSERT_EQ(placements().size(), 2u);
  m_Jobs->agentDown(agent(11));
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(m_Answers[0].m_Code, ResultCode::AgentLost);
  auto Stops = m_Links.sent<StopJob>();
  ASSERT_FALSE(Stops.empty());
  EXPECT_EQ(Stops.back().first, Incarnation{12});
}

TEST_F(BatchServiceTest, RefusesAJobThatNoWorkerCanHold) {
  addWorker(11, report());
  BatchSpec Huge = spec(1);
  Huge.m_Required.m_MilliCores = 2 * Capacity.m_MilliCores;
  submit(Huge);
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(m_Answers[0].m_Code, ResultCode::ImpossibleJob);
}

TEST_F(BatchServiceTest, RefusesAJobThatWouldStartTooLate) {
  WorkerReport Full = report(0);
  Full.m_Waiting = {{milliseconds(20), 64000}};
  addWorker(11, Full);
  submit(spec(2));
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(m_Answers[0].m_Code, ResultCode::DeadlineUnreachable);
  EXPECT_TRUE(placements().empty());
}

TEST_F(BatchServiceTest, CountsPlacementsThatReportsDoNotIncludeYet) {
  addWorker(11, report(16000));
  addWorker(12, report(9000));
  // The jitter makes the order of workers random, but free resources are not
  // used twice.
  std::map<Incarnation, std::size_t> Tasks;
  for (const char *Name : {"a1", "b2", "c3"}) {
    submit(spec(1, Name));
    for (const auto &Sent : placements())
      Tasks[Sent.first] += Sent.second.m_Tasks.size();
  }
  EXPECT_EQ(Tasks[Incarnation{11}], 2u);
  EXPECT_EQ(Tasks[Incarnation{12}], 1u);
}

TEST_F(BatchServiceTest, TellsAgentsTheirReportInterval) {
  addWorker(11, report());
  addWorker(12, report());
  auto Sent = m_Links.sent<ReportInterval>();
  ASSERT_FALSE(Sent.empty());
  // Two agents share the rate of BatchSettings::m_MaxReportsPerSecond.
  EXPECT_EQ(Sent.back().second.m_Period, milliseconds(1));
}

// A caller whose connection broke sends its job again, while the runs of the
// first submission are still being stopped, however long that takes.
TEST_F(BatchServiceTest, AJobIsNotPlacedAgainBeforeItsEarlierRunsHaveEnded) {
  addWorker(11, report());
  JobId Job = submit(spec(2));
  m_Jobs->removeCaller(Job);
  placements();
  expectHeld(spec(2));
  reportResult(11, Job, 0, 1, RunOutcome::Stopped);
  m_Timers.advance(seconds(5));
  expectHeld(spec(2));
  reportResult(11, Job, 1, 1, RunOutcome::NotStarted);
  submit(spec(2));
  EXPECT_EQ(placements().size(), 1u);
}

TEST_F(BatchServiceTest,
       AJobIsNotPlacedAgainBeforeLeasesAtALostAgentHaveEnded) {
  addWorker(11, report(8000));
  addWorker(12, report(8000));
  JobId Job = submit(spec(2));
  ASSERT_EQ(placements().size(), 2u);
  m_Jobs->agentDown(agent(11));
  // Only one of them was placed there.
  for (std::uint32_t Index = 0; Index < 2; ++Index)
    reportResult(12, Job, Index, 1, RunOutcome::Stopped);
  addWorker(13, report());
  m_Timers.advance(LeaseAfterLoss);
  expectHeld(spec(2));
  m_Timers.advance(BatchSettings{}.m_LapseTime - LeaseAfterLoss);
  submit(spec(2));
  EXPECT_FALSE(placements().empty());
  EXPECT_LT(BatchSettings{}.m_LapseTime, ResendTime);
}

// The agent is lost while it stops the runs.
TEST_F(BatchServiceTest, AJobIsNotPlacedAgainBecauseItsStoppingAgentIsLost) {
  addWorker(11, report());
  JobId Job = submit(spec(1));
  m_Jobs->removeCaller(Job);
  placements();
  m_Timers.advance(seconds(3));
  m_Jobs->agentDown(agent(11));
  addWorker(12, report());
  m_Timers.advance(LeaseAfterLoss);
  expectHeld(spec(1));
  m_Timers.advance(seconds(1));
  submit(spec(1));
  EXPECT_EQ(placements().size(), 1u);
}

// Jobs end with runs in progress for other reasons than their caller's.
TEST_F(BatchServiceTest, AJobThatFailedIsNotPlacedAgainBeforeItsRunsHaveEnded) {
  addWorker(11, report());
  BatchSpec Spec = spec(2);
  Spec.m_MaxAttempts = 1;
  JobId Job = submit(Spec);
  placements();
  reportResult(11, Job, 0, 1, RunOutcome::Failed);
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(m_Answers[0].m_Code, ResultCode::TaskFailed);
  m_Timers.advance(seconds(2));
  expectHeld(Spec);
  reportResult(11, Job, 1, 1, RunOutcome::Stopped);
  submit(Spec);
  EXPECT_EQ(placements().size(), 1u);
}

TEST_F(BatchServiceTest, ARunningJobFailsAtItsDeadline) {
  addWorker(11, report());
  submit(spec(1));
  m_Timers.advance(seconds(2));
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(m_Answers[0].m_Code, ResultCode::DeadlineWhileRunning);
  EXPECT_EQ(m_Links.sent<StopJob>().size(), 1u);
}

TEST_F(BatchServiceTest, AJobThatCannotMeetItsDeadlineIsAnsweredEarly) {
  addWorker(11, report());
  JobId Job = submit(spec(1));
  receive(11, DeadlineMissForecast{Job, 0, 1});
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(m_Answers[0].m_Code, ResultCode::DeadlineWhileRunning);
}

TEST_F(BatchServiceTest, CallersOfOneNameShareAJobThatEndsWithTheLastOfThem) {
  addWorker(11, report());
  JobId Job = submit(spec(1));
  EXPECT_EQ(submit(spec(1)), Job);
  EXPECT_EQ(placements().size(), 1u);
  m_Jobs->removeCaller(Job);
  EXPECT_TRUE(m_Answers.empty());
  m_Jobs->removeCaller(Job);
  EXPECT_EQ(m_Answers.size(), 2u);
  EXPECT_EQ(m_Links.sent<StopJob>().size(), 1u);
}

TEST_F(BatchServiceTest, AStaleRunIsRetriedWithAHigherNumber) {
  addWorker(11, report());
  JobId Job = submit(spec(1));
  placements();
  reportResult(11, Job, 0, 1, RunOutcome::StaleRun);
  auto Sent = placements();
  ASSERT_EQ(Sent.size(), 1u);
  EXPECT_GT(Sent[0].second.m_Tasks[0].m_Run, 100u);
}

TEST_F(BatchServiceTest, LateStartsReduceTheWaitThatIsAdmitted) {
  addWorker(11, report());
  WorkerReport Busy = report(4000);
  for (std::uint64_t I = 0; I < 60; ++I) {
    JobId Job = submit(spec(1, "w" + std::to_string(I)));
    ++m_PlacementsSeen;
    reportResult(11, Job, 0, 1, RunOutcome::Succeeded, milliseconds(-20));
  }
  m_Answers.clear();
  Busy.m_PlacementsSeen = m_PlacementsSeen;
  receive(11, Busy);
  BatchSpec LowPriority = spec(1, "z9");
  LowPriority.m_Priority = 1;
  submit(LowPriority);
  ASSERT_EQ(m_Answers.size(), 1u);
  EXPECT_EQ(m_Answers[0].m_Code, ResultCode::DeadlineUnreachable);
}

} // namespace

TEST_F(BatchServiceTest, StatesTheRoomOfWorkersThatAccept) {
  WorkerReport Busy = report(-8000);
  Busy.m_Rack = "r2";
  WorkerReport Draining = report();
  Draining.m_IsAccepting = false;
  WorkerReport Idle = report(24000);
  Idle.m_Rack = "r1";
  addWorker(11, Busy);
  addWorker(12, Draining);
  addWorker(13, Idle);
  std::vector<ServiceRoom> Expected{
      {"gatepost", 24000, 2 * Capacity.m_MilliCores, {"r1", "r2"}}};
  EXPECT_EQ(m_Jobs->rooms(), Expected);
}

TEST_F(BatchServiceTest, CountsTheTimeBeforeAJobWasForwarded) {
  addWorker(11, report());
  BatchSpec Spec = spec(1);
  Spec.m_Age = milliseconds(40);
  submit(Spec);
  auto Sent = placements();
  ASSERT_EQ(Sent.size(), 1u);
  EXPECT_EQ(Sent[0].second.m_StartWithin, milliseconds(110 - 40));
  EXPECT_EQ(Sent[0].second.m_Remaining, milliseconds(2000 - 40 - 15));
}
