#include "batch/batchmodule.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "membership/tests/mocks/linksfake.h"
#include "statechart/chartfolder.h"
#include "worker/internal/runtable.h"
#include "worker/internal/slowness.h"

#include <gtest/gtest.h>

#include <random>

using namespace cyclamenwalk;

namespace {

constexpr Resources Capacity{16000, 65536, 0};
constexpr Resources TaskResources{1400, 64, 0};
constexpr double FastSpeed = 1.2;
constexpr double SlowSpeed = 0.55;
constexpr double TailShare = 0.03;
constexpr double TailFactor = 7;
constexpr double MaxEstimateError = 0.4;
constexpr Duration ReportPeriod = milliseconds(100);
constexpr Duration PlayTime = seconds(6);
constexpr std::uint32_t Seeds = 2;

struct JobKind {
  double m_Rate;
  std::uint32_t m_Tasks;
  Duration m_RunTime;
};
const std::vector<JobKind> JobKinds{{181, 8, milliseconds(51)},
                                    {33, 4, milliseconds(760)},
                                    {529, 2, milliseconds(170)}};

struct Figures {
  int m_Answers = 0;
  int m_Late = 0;
  int m_Placed = 0;
  /// Tasks placed on a slow server although a fast one had room.
  int m_Misplaced = 0;
  void add(const Figures &Other) {
    m_Answers += Other.m_Answers;
    m_Late += Other.m_Late;
    m_Placed += Other.m_Placed;
    m_Misplaced += Other.m_Misplaced;
  }
  double percentLate() const { return 100.0 * m_Late / m_Answers; }
  double percentMisplaced() const { return 100.0 * m_Misplaced / m_Placed; }
};

/// One entry that places jobs on servers of one kind and unequal speed; their
/// agents are modelled.
class Replay final : public ILinks {
public:
  Replay(std::size_t Servers, std::size_t SlowEvery, bool Learns,
         std::uint32_t Seed)
      : m_Charts(CW_CHART_DIR), m_Random(Seed) {
    BatchSettings Settings;
    Settings.m_LearnsSpeeds = Learns;
    m_Jobs = makeBatchService({1}, Settings, BatchHooks{},
                              {m_Charts, *this, m_Timers, m_Metrics});
    for (std::size_t I = 0; I < Servers; ++I) {
      bool IsSlow = SlowEvery > 0 && I % SlowEvery == 0;
      m_Servers.emplace_back(IsSlow ? SlowSpeed : FastSpeed, Learns);
      m_Jobs->agentUp({"agent", {I}, "10.0.0.9:1", "z", Role::Agent});
      sendReport(I);
      m_Timers.subscribeEvery(ReportPeriod, [this, I] { sendReport(I); });
    }
  }

  static Figures playAll(std::size_t Servers, std::size_t SlowEvery,
                         bool Learns) {
    Figures Sum;
    for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed)
      Sum.add(Replay(Servers, SlowEvery, Learns, Seed).play());
    return Sum;
  }

  Figures play() {
    for (const JobKind &Kind : JobKinds)
      scheduleArrival(Kind);
    m_Timers.advance(PlayTime);
    return m_Figures;
  }

  void setHooks(Hooks) override {}
  void connect(const std::string &) override {}
  void disconnect(Incarnation) override {}
  TimePoint confirmedAliveAt(Incarnation) const override { return {}; }
  TimePoint callersAliveAt(Incarnation) const override { return {}; }
  bool isFlushed() const override { return true; }
  void send(Incarnation To, Message Body) override {
    if (auto *Placement = std::get_if<PlaceTasks>(&Body))
      receivePlacement(To.m_Value, *Placement);
    else if (auto *Stop = std::get_if<StopJob>(&Body))
      stopJob(To.m_Value, Stop->m_Job);
  }

private:
  struct Server {
    Server(double Speed, bool Learns)
        : m_Speed(Speed), m_Runs(Capacity), m_Slowness(Learns) {}
    double m_Speed;
    RunTable m_Runs;
    Slowness m_Slowness;
    std::uint64_t m_PlacementsSeen = 0;
  };

  double draw(double Min, double Max) {
    return std::uniform_real_distribution<>(Min, Max)(m_Random);
  }

  void scheduleArrival(const JobKind &Kind) {
    double Gap = std::exponential_distribution<>(Kind.m_Rate)(m_Random);
    m_Timers.subscribe(scaled(seconds(1), Gap), [this, &Kind] {
      submit(Kind);
      scheduleArrival(Kind);
    });
  }

  void submit(const JobKind &Kind) {
    BatchSpec Spec;
    Spec.m_Name = Spec.m_BackendName = "job" + std::to_string(++m_LastJob);
    Spec.m_Service = "s";
    Spec.m_Tasks = Kind.m_Tasks;
    Spec.m_Required = TaskResources;
    Spec.m_EstimatedRunTime = scaled(
        Kind.m_RunTime, draw(1 - MaxEstimateError, 1 + MaxEstimateError));
    Spec.m_Deadline = milliseconds(1500);
    Spec.m_SlackFactor = 1.6;
    Spec.m_TargetLatency = milliseconds(60);
    m_RunTimes[Spec.m_Name] = Kind.m_RunTime;
    TimePoint DueAt =
        m_Timers.now() + scaled(Kind.m_RunTime, 1.6) + Spec.m_TargetLatency;
    m_Jobs->submit(std::move(Spec), [this, DueAt](const BatchAnswer &Answer) {
      bool IsTimely =
          Answer.m_Code == ResultCode::Ok && m_Timers.now() <= DueAt;
      ++m_Figures.m_Answers;
      m_Figures.m_Late += IsTimely ? 0 : 1;
    });
  }

  bool hasRoomOnFastServer() const {
    return std::any_of(m_Servers.begin(), m_Servers.end(),
                       [](const Server &Candidate) {
                         return Candidate.m_Speed == FastSpeed &&
                                Candidate.m_Runs.free().canFit(TaskResources);
                       });
  }

  void receivePlacement(std::uint64_t Agent, const PlaceTasks &Body) {
    Server &Placed = m_Servers[Agent];
    Placed.m_PlacementsSeen += Body.m_Tasks.size();
    auto Job = std::make_shared<PlacedJob>();
    Job->m_Job = Body.m_Job;
    Job->m_Name = Body.m_Name;
    Job->m_Required = Body.m_Required;
    Job->m_ExpectedRunTime = Body.m_ExpectedRunTime;
    Job->m_StartBy = m_Timers.now() + Body.m_StartWithin;
    Job->m_OrderKey = m_Timers.now() + Body.m_OrderWithin;
    bool IsMisplaced = Placed.m_Speed == SlowSpeed && hasRoomOnFastServer();
    for (const PlacedTask &Task : Body.m_Tasks) {
      ++m_Figures.m_Placed;
      m_Figures.m_Misplaced += IsMisplaced ? 1 : 0;
      auto Added = std::make_shared<Run>();
      Added->m_Job = Job;
      Added->m_Task = Task;
      Added->m_Id = {Body.m_Name + "." + std::to_string(Task.m_Index),
                     Task.m_Run};
      Placed.m_Runs.add(Added);
      Placed.m_Runs.enqueue(Added);
    }
    startRuns(Agent);
  }

  void startRuns(std::uint64_t Agent) {
    RunTable &Runs = m_Servers[Agent].m_Runs;
    while (RunPointer Next = Runs.nextToStart(
               m_Timers.now(), [](const Run &) { return true; })) {
      Runs.dequeue(*Next);
      Runs.reserveResources(*Next);
      Next->m_State = RunState::Running;
      Next->m_StartedAt = m_Timers.now();
      // Independent of the placement, so that replays can be compared.
      std::mt19937 Random(static_cast<std::uint32_t>(
          std::hash<std::string>()(Next->m_Id.m_Task)));
      bool IsTail = std::uniform_real_distribution<>(0, 1)(Random) < TailShare;
      Duration RunTime =
          scaled(m_RunTimes.at(Next->m_Job->m_Name),
                 (IsTail ? TailFactor : 1) / m_Servers[Agent].m_Speed);
      m_Timers.subscribe(RunTime, [this, Agent, Next] {
        endRun(Agent, Next, RunOutcome::Succeeded);
      });
    }
  }

  void endRun(std::uint64_t Agent, const RunPointer &Ended,
              RunOutcome Outcome) {
    if (Ended->m_State == RunState::Ended)
      return;
    Server &Ran = m_Servers[Agent];
    bool HasStarted = Ended->m_State == RunState::Running;
    Duration RunTime =
        HasStarted ? m_Timers.now() - Ended->m_StartedAt : Duration::zero();
    Duration Margin = Ended->m_Job->m_StartBy - (m_Timers.now() - RunTime);
    if (HasStarted)
      Ran.m_Runs.releaseResources(*Ended);
    if (Outcome == RunOutcome::Succeeded)
      Ran.m_Slowness.recordSuccess(*Ended, RunTime);
    Ended->m_State = RunState::Ended;
    Ran.m_Runs.erase(*Ended);
    RunResults Body;
    Body.m_RunResults.push_back({Ended->m_Job->m_Job, Ended->m_Task.m_Index,
                                 Ended->m_Task.m_Run, Outcome, RunTime,
                                 Margin});
    startRuns(Agent);
    Body.m_Report = report(Agent);
    m_Timers.subscribe(Duration::zero(), [this, Agent, Body]() mutable {
      Message Sent = std::move(Body);
      m_Jobs->receive({Agent}, Sent);
    });
  }

  void stopJob(std::uint64_t Agent, JobId Job) {
    for (const RunPointer &Candidate : m_Servers[Agent].m_Runs.runs())
      if (Candidate->m_Job->m_Job == Job)
        endRun(Agent, Candidate,
               Candidate->m_State == RunState::Running
                   ? RunOutcome::Stopped
                   : RunOutcome::NotStarted);
  }

  WorkerReport report(std::uint64_t Agent) const {
    const Server &Reported = m_Servers[Agent];
    TimePoint Now = m_Timers.now();
    double Current = Reported.m_Slowness.current(Reported.m_Runs.runs(), Now);
    WorkerReport Report;
    Report.m_Service = "s";
    Report.m_Capacity = Capacity;
    Report.m_Free = Reported.m_Runs.free();
    Report.m_IsAccepting = true;
    Report.m_SlowdownPercent = static_cast<std::uint32_t>(100 * Current);
    Report.m_MeanRemaining = Reported.m_Runs.meanRemaining(Now, Current);
    Report.m_Waiting = Reported.m_Runs.waitingWork(Now);
    Report.m_PlacementsSeen = Reported.m_PlacementsSeen;
    Report.m_Speed = Reported.m_Slowness.learned();
    return Report;
  }

  void sendReport(std::uint64_t Agent) {
    Message Body = report(Agent);
    m_Jobs->receive({Agent}, Body);
  }

  ChartFolder m_Charts;
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  std::mt19937 m_Random;
  std::deque<Server> m_Servers;
  std::map<std::string, Duration> m_RunTimes;
  std::uint64_t m_LastJob = 0;
  Figures m_Figures;
  std::unique_ptr<IBatchService> m_Jobs;
};

void print(const char *Name, const Figures &Shown) {
  std::printf("%s: %d answers, %.1f %% late, %.1f %% of %d tasks misplaced\n",
              Name, Shown.m_Answers, Shown.percentLate(),
              Shown.percentMisplaced(), Shown.m_Placed);
}

class WorkerSpeedReplayTest : public testing::TestWithParam<std::size_t> {};

/// Guards against slow servers that get long tasks because they have the kind
/// of fast ones.
TEST_P(WorkerSpeedReplayTest, LearnedSpeedsAvoidLateAnswersOnUnevenServers) {
  Figures Baseline = Replay::playAll(GetParam(), 4, false);
  Figures Learned = Replay::playAll(GetParam(), 4, true);
  print("baseline", Baseline);
  print("learned", Learned);
  EXPECT_LT(Learned.percentLate(), Baseline.percentLate());
  EXPECT_LT(Learned.percentMisplaced(), Baseline.percentMisplaced());
}

/// Guards against a loss where all servers are equally fast.
TEST_P(WorkerSpeedReplayTest, LearnedSpeedsCostNothingOnEqualServers) {
  Figures Baseline = Replay::playAll(GetParam(), 0, false);
  Figures Learned = Replay::playAll(GetParam(), 0, true);
  print("equal, baseline", Baseline);
  print("equal, learned", Learned);
  EXPECT_NEAR(Learned.percentLate(), Baseline.percentLate(), 1);
}

INSTANTIATE_TEST_SUITE_P(Loads, WorkerSpeedReplayTest,
                         testing::Values(58, 42, 36));

} // namespace
