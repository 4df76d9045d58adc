#include "batch/batchmodule.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "job/jobmodule.h"
#include "job/tests/mocks/configurationfake.h"
#include "membership/membershipmodule.h"
#include "protocol/codec.h"
#include "slot/slotmodule.h"
#include "statechart/boundchart.h"
#include "statechart/chartfolder.h"

#include <benchmark/benchmark.h>
#include <deque>
#include <malloc.h>

using namespace cyclamenwalk;

namespace {

const Incarnation EntryIncarnation{1};

/// Records the starts that the entry sends, so that a benchmark can answer them
/// in place of the agents.
class StartRecordingLinks final : public ILinks {
public:
  void setHooks(Hooks) override {}
  void connect(const std::string &) override {}
  void send(Incarnation Agent, Message Body) override {
    if (auto *StartBody = std::get_if<Start>(&Body))
      m_Starts.emplace_back(Agent, StartBody->m_Task, StartBody->m_Credit);
  }
  void disconnect(Incarnation) override {}
  TimePoint confirmedAliveAt(Incarnation) const override { return {}; }
  TimePoint callersAliveAt(Incarnation) const override { return {}; }
  bool isFlushed() const override { return true; }

  struct SentStart {
    SentStart(Incarnation Agent, TaskId Task, CreditId Credit)
        : m_Agent(Agent), m_Task(Task), m_Credit(Credit) {}
    Incarnation m_Agent;
    TaskId m_Task;
    CreditId m_Credit;
  };
  std::deque<SentStart> m_Starts;
};

/// A job service with workers of 8 slots each and a number of teams.
class EntryFixture {
public:
  EntryFixture(int Workers, int Teams) : m_TeamCount(Teams) {
    m_Configuration.m_State.m_Services["gatepost"] = {};
    for (int I = 0; I < Teams; ++I)
      m_Configuration.m_State.m_Teams["t" + std::to_string(I)] = {};
    m_Jobs = makeJobService(
        EntryIncarnation, JobSettings{}, PolicyHooks{},
        [] { return EntryShare{}; },
        {m_Charts, m_Links, m_Configuration, m_Timers, m_Metrics});
    for (int I = 0; I < Workers; ++I)
      addWorker(Incarnation{1000 + static_cast<std::uint64_t>(I)});
  }

  void addWorker(Incarnation Agent) {
    m_Jobs->agentUp({toString(Agent), Agent, "", "d", Role::Agent});
    Message State = BackendState{"gatepost", 8, 64, 1ULL << 38, false};
    m_Jobs->receive(Agent, State);
    CreditGrant Grant;
    for (int I = 0; I < 8; ++I)
      Grant.m_Credits.push_back({CreditId{++m_LastCredit}, I < 4});
    Message Body = Grant;
    m_Jobs->receive(Agent, Body);
  }

  JobId submit(std::uint32_t Tasks) {
    JobSpec Spec;
    Spec.m_Service = "gatepost";
    Spec.m_Kind = "candle";
    Spec.m_Team = "t" + std::to_string(m_NextTeamIndex++ % m_TeamCount);
    Spec.m_Payloads.assign(Tasks, std::string(100, 'x'));
    return m_Jobs->submit(std::move(Spec),
                          [this](const JobAnswer &) { ++m_AnsweredJobs; });
  }

  /// Completes the oldest task in progress and grants a credit for the next.
  void finishOldestTask() {
    StartRecordingLinks::SentStart Oldest = m_Links.m_Starts.front();
    m_Links.m_Starts.pop_front();
    TaskDone Done;
    Done.m_Task = Oldest.m_Task;
    Done.m_Credit = Oldest.m_Credit;
    Done.m_Answer = std::string(100, 'y');
    Done.m_RunTime = milliseconds(100);
    Done.m_Credits = {{CreditId{++m_LastCredit}, m_LastCredit % 2 == 0}};
    Message Body = std::move(Done);
    m_Jobs->receive(Oldest.m_Agent, Body);
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  StartRecordingLinks m_Links;
  ConfigurationFake m_Configuration;
  std::unique_ptr<IJobService> m_Jobs;
  int m_TeamCount;
  int m_NextTeamIndex = 0;
  std::uint64_t m_LastCredit = 0;
  std::uint64_t m_AnsweredJobs = 0;
};

/// Control-thread time per task at the entry, from submission to answer, with a
/// backlog in every team.
void taskAtEntry(benchmark::State &State) {
  EntryFixture Fixture(static_cast<int>(State.range(0)),
                       static_cast<int>(State.range(1)));
  constexpr std::uint32_t TasksPerJob = 20;
  for (int I = 0; I < 2 * State.range(1) + State.range(0); ++I)
    Fixture.submit(TasksPerJob);
  std::int64_t Tasks = 0;
  while (State.KeepRunning()) {
    Fixture.submit(TasksPerJob);
    for (std::uint32_t I = 0; I < TasksPerJob; ++I)
      Fixture.finishOldestTask();
    Tasks += TasksPerJob;
    // Lets the timer that removes finished jobs expire.
    Fixture.m_Timers.advance(milliseconds(20));
  }
  State.SetItemsProcessed(Tasks);
  State.counters["us_per_task"] = benchmark::Counter(
      static_cast<double>(Tasks) / 1e6,
      benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(taskAtEntry)
    ->ArgNames({"workers", "teams"})
    ->ArgsProduct({{1, 11, 100, 980}, {1, 97}})
    ->MinTime(0.3);

/// Keeps the callbacks of the executions until the benchmark calls them.
class CallbackQueueExecutor final : public IExecutor {
public:
  void execute(const std::string &, ExecutionRequest, Done OnDone) override {
    m_Callbacks.push_back(std::move(OnDone));
  }
  void stop(const std::string &, TaskId) override {}
  std::deque<Done> m_Callbacks;
};

/// Collects the credits that the agent grants.
class CreditRecordingLinks final : public ILinks {
public:
  void setHooks(Hooks) override {}
  void connect(const std::string &) override {}
  void send(Incarnation, Message Body) override {
    if (auto *Done = std::get_if<TaskDone>(&Body))
      m_Credits.insert(m_Credits.end(), Done->m_Credits.begin(),
                       Done->m_Credits.end());
    if (auto *Grant = std::get_if<CreditGrant>(&Body))
      m_Credits.insert(m_Credits.end(), Grant->m_Credits.begin(),
                       Grant->m_Credits.end());
  }
  void disconnect(Incarnation) override {}
  TimePoint confirmedAliveAt(Incarnation) const override { return {}; }
  TimePoint callersAliveAt(Incarnation) const override { return {}; }
  bool isFlushed() const override { return true; }
  std::deque<Credit> m_Credits;
};

/// Control-thread time per task at the agent.
void taskAtAgent(benchmark::State &State) {
  ChartFolder Charts(CW_CHART_DIR);
  ManualTimerService Timers;
  MetricsFake Metrics;
  CreditRecordingLinks Links;
  CallbackQueueExecutor Executor;
  auto Slots = makeSlotService(SlotSettings{}, chooseByDemand, Charts, Links,
                               Executor, Timers, Metrics);
  Peer Entry;
  Entry.m_Incarnation = EntryIncarnation;
  Slots->entryUp(Entry);
  BackendOffer Offer;
  Offer.m_Service = "gatepost";
  Offer.m_Slots = 8;
  Slots->announce(Offer);
  std::uint64_t Sequence = 0;
  while (State.KeepRunning()) {
    Start Body;
    Body.m_Task = TaskId{JobId{EntryIncarnation, ++Sequence}, 0};
    Body.m_Credit = Links.m_Credits.front().m_Id;
    Body.m_Service = "gatepost";
    Body.m_Payload = std::string(100, 'x');
    Body.m_Remaining = seconds(10);
    Links.m_Credits.pop_front();
    Message StartMessage = std::move(Body);
    Slots->receive(EntryIncarnation, StartMessage);
    auto OnDone = std::move(Executor.m_Callbacks.front());
    Executor.m_Callbacks.pop_front();
    OnDone({ResultCode::Ok, std::string(100, 'y')});
    if (Sequence % 64 == 0) {
      Timers.advance(milliseconds(100));
      Slots->announce(Offer);
    }
  }
}
BENCHMARK(taskAtAgent)->MinTime(0.3);

Envelope makeStartEnvelope() {
  Start Body;
  Body.m_Task = TaskId{JobId{EntryIncarnation, 123456}, 7};
  Body.m_Credit = CreditId{987654};
  Body.m_Service = "gatepost";
  Body.m_Kind = "candle";
  Body.m_Payload = std::string(100, 'x');
  Body.m_Remaining = seconds(10);
  Envelope Result;
  Result.m_Sender = Incarnation{~0ULL};
  Result.m_Receiver = Incarnation{~1ULL};
  Result.m_Link = 77;
  Result.m_Sequence = 100000;
  Result.m_Acknowledged = 100000;
  Result.m_Message = Body;
  return Result;
}

void encodeStart(benchmark::State &State) {
  Envelope Packet = makeStartEnvelope();
  std::size_t EncodedBytes = 0;
  while (State.KeepRunning())
    EncodedBytes = encode(Packet).size();
  State.counters["bytes"] = static_cast<double>(EncodedBytes);
}
BENCHMARK(encodeStart);

void decodeStart(benchmark::State &State) {
  std::string EncodedBytes = encode(makeStartEnvelope());
  while (State.KeepRunning())
    benchmark::DoNotOptimize(decode(EncodedBytes));
}
BENCHMARK(decodeStart);

void encodeHeartbeat(benchmark::State &State) {
  Envelope Packet = makeStartEnvelope();
  Packet.m_Message = Heartbeat{};
  std::size_t EncodedBytes = 0;
  while (State.KeepRunning())
    EncodedBytes = encode(Packet).size();
  State.counters["bytes"] = static_cast<double>(EncodedBytes);
}
BENCHMARK(encodeHeartbeat);

enum class DoorState { Closed, Open };
enum class DoorEvent { Push, Pull };

struct Door {
  DoorState m_State = DoorState::Closed;
  std::uint64_t m_PushCount = 0;
};

} // namespace

namespace cyclamenwalk {
template <> struct ChartNames<DoorState> {
  static constexpr std::array<std::string_view, 2> Values{"closed", "open"};
};
template <> struct ChartNames<DoorEvent> {
  static constexpr std::array<std::string_view, 2> Values{"push", "pull"};
};
} // namespace cyclamenwalk

namespace {

/// Two transitions; the first has a guard and an action.
void chartTransition(benchmark::State &State) {
  BoundChart<Door, DoorState, DoorEvent> Chart(
      Chart::parse(R"(<scxml initial="closed"><state id="closed">
        <transition event="push" cond="allowed" target="open">
        <cw:call hook="count"/></transition></state><state id="open">
        <transition event="pull" target="closed"/></state></scxml>)",
                   "door"),
      {{"allowed", [](const Door &) { return true; }}},
      {{"count", [](Door &Instance) { ++Instance.m_PushCount; }}});
  Door Instance;
  while (State.KeepRunning()) {
    Chart.fire(Instance, DoorEvent::Push);
    Chart.fire(Instance, DoorEvent::Pull);
  }
  benchmark::DoNotOptimize(Instance.m_PushCount);
  State.SetItemsProcessed(State.iterations() * 2);
}
BENCHMARK(chartTransition);

/// Discards the messages it sends after counting them and their encoded bytes.
class CountingTransport final : public ITransport {
public:
  void onReceive(Receiver Hook) override { m_Receiver = std::move(Hook); }
  ChannelId open(const std::string &) override { return ++m_LastChannel; }
  void send(ChannelId, Envelope Packet) override {
    ++m_Messages;
    m_Bytes += encode(Packet).size();
  }
  void reconnect(ChannelId) override {}
  void close(ChannelId) override {}
  Receiver m_Receiver;
  ChannelId m_LastChannel = 0;
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0;
};

/// One second of an entry with idle links: it receives a heartbeat from each
/// agent and sends its own.
void idleLinksForASecond(benchmark::State &State) {
  ChartFolder Charts(CW_CHART_DIR);
  ManualTimerService Timers;
  MetricsFake Metrics;
  CountingTransport Transport;
  auto Links =
      makeLinks({"e", EntryIncarnation, "127.0.0.1:1", "d", Role::Entry},
                LinkSettings{}, Charts, Transport, Timers, Metrics);
  Links->setHooks({[](const Peer &) {}, [](Incarnation, Message &) {},
                   [](const Peer &) {}, [](const std::string &) {}});
  auto AgentCount = static_cast<std::uint32_t>(State.range(0));
  auto Deliver = [&](std::uint32_t I, Message Body) {
    Envelope Packet;
    Packet.m_Sender = Incarnation{1000 + I};
    Packet.m_Receiver = EntryIncarnation;
    Packet.m_Link = I + 1;
    Packet.m_Message = std::move(Body);
    Transport.m_Receiver(std::move(Packet));
  };
  for (std::uint32_t I = 0; I < AgentCount; ++I)
    Deliver(I, Hello{"a" + std::to_string(I), "127.0.0.1:2", "d", Role::Agent,
                     false});
  std::uint64_t BytesBefore = Transport.m_Bytes;
  while (State.KeepRunning()) {
    for (std::uint32_t I = 0; I < AgentCount; ++I)
      Deliver(I, Heartbeat{});
    Timers.advance(seconds(1));
  }
  auto SimulatedSeconds = static_cast<double>(State.iterations());
  State.counters["bytes_sent_per_s"] =
      static_cast<double>(Transport.m_Bytes - BytesBefore) / SimulatedSeconds;
}
BENCHMARK(idleLinksForASecond)->Arg(11)->Arg(196)->Arg(980);

/// Control-thread time to place a job of two tasks and to take the report that
/// follows, by number of servers.
void placeSmallJob(benchmark::State &State) {
  ChartFolder Charts(CW_CHART_DIR);
  ManualTimerService Timers;
  MetricsFake Metrics;
  CreditRecordingLinks Links;
  BatchSettings Settings;
  Settings.m_LookAhead = State.range(1) != 0;
  auto Jobs = makeBatchService(EntryIncarnation, Settings, BatchHooks{},
                               {Charts, Links, Timers, Metrics});
  auto Servers = static_cast<std::uint64_t>(State.range(0));
  std::vector<std::uint64_t> PlacedByServer(Servers);
  auto SendReport = [&](std::uint64_t I, RunResults Body) {
    Body.m_Report.m_Service = "gatepost";
    Body.m_Report.m_Kind = I % 3 == 0 ? "large" : "usual";
    Body.m_Report.m_Rack = "r" + std::to_string(I % 8);
    Body.m_Report.m_Capacity = {32000, 262144, 0};
    Body.m_Report.m_Free = {static_cast<std::int64_t>(I % 5) * 2000, 65536, 0};
    Body.m_Report.m_IsAccepting = true;
    Body.m_Report.m_MeanRemaining = milliseconds(80);
    Body.m_Report.m_Waiting = {{milliseconds(60), 6000}};
    Body.m_Report.m_PlacementsSeen = ~0ULL;
    for (int End = 1; End <= 4; ++End)
      Body.m_Report.m_ExpectedEnds.push_back(
          {milliseconds(15 * End), {4000, 64, 0}});
    Message Received = std::move(Body);
    Jobs->receive({1000 + I}, Received);
  };
  for (std::uint64_t I = 0; I < Servers; ++I) {
    Jobs->agentUp({"a", {1000 + I}, "", "d", Role::Agent});
    SendReport(I, {});
  }
  std::uint64_t Sequence = 0;
  while (State.KeepRunning()) {
    BatchSpec Spec;
    Spec.m_Name = Spec.m_BackendName = "j" + std::to_string(++Sequence);
    Spec.m_Service = "gatepost";
    Spec.m_Tasks = 2;
    Spec.m_Required = {1500, 64, 0};
    Spec.m_EstimatedRunTime = milliseconds(100);
    Spec.m_Deadline = seconds(2);
    Spec.m_SlackFactor = 1.6;
    Spec.m_TargetLatency = milliseconds(60);
    JobId Job = Jobs->submit(std::move(Spec), [](const BatchAnswer &) {});
    Jobs->cancel("j" + std::to_string(Sequence));
    RunResults Ended;
    for (std::uint32_t Task = 0; Task < 2; ++Task)
      Ended.m_RunResults.push_back({Job, Task, 1, RunOutcome::Stopped, {}, {}});
    SendReport(Sequence % Servers, std::move(Ended));
    Timers.advance(milliseconds(1));
  }
}
BENCHMARK(placeSmallJob)
    ->ArgNames({"servers", "look_ahead"})
    ->ArgsProduct({{11, 75, 240, 980}, {0, 1}})
    ->MinTime(0.3);

std::size_t getHeapInUse() { return mallinfo2().uordblks; }

/// Heap use per queued task, in jobs of 20 tasks with payloads of 100 bytes.
void memoryOfWaitingTask(benchmark::State &State) {
  constexpr std::uint32_t Jobs = 5000;
  constexpr std::uint32_t TasksPerJob = 20;
  double BytesPerTask = 0;
  while (State.KeepRunning()) {
    EntryFixture Fixture(0, 1);
    std::size_t BytesBefore = getHeapInUse();
    for (std::uint32_t I = 0; I < Jobs; ++I)
      Fixture.submit(TasksPerJob);
    BytesPerTask = static_cast<double>(getHeapInUse() - BytesBefore) /
                   (Jobs * TasksPerJob);
  }
  State.counters["bytes_per_task"] = BytesPerTask;
}
BENCHMARK(memoryOfWaitingTask)->Iterations(1);

/// Heap use per worker at the entry, with its credits.
void memoryOfWorker(benchmark::State &State) {
  constexpr int Workers = 980;
  double BytesPerWorker = 0;
  while (State.KeepRunning()) {
    EntryFixture Fixture(1, 1);
    std::size_t BytesBefore = getHeapInUse();
    for (int I = 0; I < Workers; ++I)
      Fixture.addWorker(Incarnation{5000 + static_cast<std::uint64_t>(I)});
    BytesPerWorker =
        static_cast<double>(getHeapInUse() - BytesBefore) / Workers;
  }
  State.counters["bytes_per_worker"] = BytesPerWorker;
}
BENCHMARK(memoryOfWorker)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
