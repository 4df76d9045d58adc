#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsmock.h"
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

const Incarnation Own{1};

/// Answers every start at once, as the agents would.
class LoopbackLinks final : public ILinks {
public:
  void setHooks(Hooks) override {}
  void connect(const std::string &) override {}
  void send(Incarnation To, Message Body) override {
    if (auto *Sent = std::get_if<Start>(&Body))
      m_Starts.emplace_back(To, Sent->m_Task, Sent->m_Credit);
  }
  void disconnect(Incarnation) override {}
  bool isFlushed() const override { return true; }

  struct Sent {
    Sent(Incarnation Agent, TaskId Task, CreditId Credit)
        : m_Agent(Agent), m_Task(Task), m_Credit(Credit) {}
    Incarnation m_Agent;
    TaskId m_Task;
    CreditId m_Credit;
  };
  std::deque<Sent> m_Starts;
};

/// One entry with a number of workers of 8 slots and of teams.
class EntryRig {
public:
  EntryRig(int Workers, int Teams) : m_Teams(Teams) {
    m_Configuration.m_State.m_Services["gatepost"] = {};
    for (int I = 0; I < Teams; ++I)
      m_Configuration.m_State.m_Teams["t" + std::to_string(I)] = {};
    m_Jobs = makeJobService(
        Own, JobSettings{}, PolicyHooks{}, [] { return EntryShare{}; },
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
    Spec.m_Team = "t" + std::to_string(m_NextTeam++ % m_Teams);
    Spec.m_Payloads.assign(Tasks, std::string(100, 'x'));
    return m_Jobs->submit(std::move(Spec),
                          [this](const JobAnswer &) { ++m_Answered; });
  }

  /// Ends the oldest start, with the credit for the next.
  void finishOne() {
    LoopbackLinks::Sent Next = m_Links.m_Starts.front();
    m_Links.m_Starts.pop_front();
    TaskDone Done;
    Done.m_Task = Next.m_Task;
    Done.m_Credit = Next.m_Credit;
    Done.m_Answer = std::string(100, 'y');
    Done.m_RunTime = milliseconds(100);
    Done.m_Credits = {{CreditId{++m_LastCredit}, m_LastCredit % 2 == 0}};
    Message Body = std::move(Done);
    m_Jobs->receive(Next.m_Agent, Body);
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  LoopbackLinks m_Links;
  ConfigurationFake m_Configuration;
  std::unique_ptr<IJobService> m_Jobs;
  int m_Teams;
  int m_NextTeam = 0;
  std::uint64_t m_LastCredit = 0;
  std::uint64_t m_Answered = 0;
};

/// Control-thread cost of a task at the entry, from submission to answer, with
/// a backlog in every team.
void taskAtEntry(benchmark::State &State) {
  EntryRig Rig(static_cast<int>(State.range(0)),
               static_cast<int>(State.range(1)));
  constexpr std::uint32_t TasksInJob = 20;
  for (int I = 0; I < 2 * State.range(1) + State.range(0); ++I)
    Rig.submit(TasksInJob);
  std::int64_t Tasks = 0;
  while (State.KeepRunning()) {
    Rig.submit(TasksInJob);
    for (std::uint32_t I = 0; I < TasksInJob; ++I)
      Rig.finishOne();
    Tasks += TasksInJob;
    // Ended jobs are forgotten as time goes on.
    Rig.m_Timers.advance(milliseconds(20));
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

class NullExecutor final : public IExecutor {
public:
  void execute(const std::string &, ExecutionRequest, Done Call) override {
    m_Done.push_back(std::move(Call));
  }
  void stop(const std::string &, TaskId) override {}
  std::deque<Done> m_Done;
};

/// Keeps the newest credit that the agent granted.
class AgentLinks final : public ILinks {
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
  bool isFlushed() const override { return true; }
  std::deque<Credit> m_Credits;
};

/// Control-thread cost of a task at the agent.
void taskAtAgent(benchmark::State &State) {
  ChartFolder Charts(CW_CHART_DIR);
  ManualTimerService Timers;
  MetricsFake Metrics;
  AgentLinks Links;
  NullExecutor Executor;
  auto Slots = makeSlotService(SlotSettings{}, chooseByDemand, Charts, Links,
                               Executor, Timers, Metrics);
  Peer Entry;
  Entry.m_Incarnation = Own;
  Slots->entryUp(Entry);
  BackendOffer Offer;
  Offer.m_Service = "gatepost";
  Offer.m_Slots = 8;
  Slots->announce(Offer);
  std::uint64_t Sequence = 0;
  while (State.KeepRunning()) {
    Start Body;
    Body.m_Task = TaskId{JobId{Own, ++Sequence}, 0};
    Body.m_Credit = Links.m_Credits.front().m_Id;
    Body.m_Service = "gatepost";
    Body.m_Payload = std::string(100, 'x');
    Body.m_Remaining = seconds(10);
    Links.m_Credits.pop_front();
    Message Sent = std::move(Body);
    Slots->receive(Own, Sent);
    auto Call = std::move(Executor.m_Done.front());
    Executor.m_Done.pop_front();
    Call({ResultCode::Ok, std::string(100, 'y')});
    if (Sequence % 64 == 0) {
      Timers.advance(milliseconds(100));
      Slots->announce(Offer);
    }
  }
}
BENCHMARK(taskAtAgent)->MinTime(0.3);

Envelope startEnvelope() {
  Start Body;
  Body.m_Task = TaskId{JobId{Own, 123456}, 7};
  Body.m_Credit = CreditId{987654};
  Body.m_Service = "gatepost";
  Body.m_Kind = "candle";
  Body.m_Payload = std::string(100, 'x');
  Body.m_Remaining = seconds(10);
  Envelope Value;
  Value.m_Sender = Incarnation{~0ULL};
  Value.m_Receiver = Incarnation{~1ULL};
  Value.m_Link = 77;
  Value.m_Sequence = 100000;
  Value.m_Acknowledged = 100000;
  Value.m_Message = Body;
  return Value;
}

void encodeStart(benchmark::State &State) {
  Envelope Value = startEnvelope();
  std::size_t Bytes = 0;
  while (State.KeepRunning())
    Bytes = encode(Value).size();
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(encodeStart);

void decodeStart(benchmark::State &State) {
  std::string Bytes = encode(startEnvelope());
  while (State.KeepRunning())
    benchmark::DoNotOptimize(decode(Bytes));
}
BENCHMARK(decodeStart);

void encodeHeartbeat(benchmark::State &State) {
  Envelope Value = startEnvelope();
  Value.m_Message = Heartbeat{};
  std::size_t Bytes = 0;
  while (State.KeepRunning())
    Bytes = encode(Value).size();
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(encodeHeartbeat);

enum class DoorState { Closed, Open };
enum class DoorEvent { Push, Pull };

struct Door {
  DoorState m_State = DoorState::Closed;
  std::uint64_t m_Count = 0;
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

/// A transition with a guard and an action.
void chartTransition(benchmark::State &State) {
  BoundChart<Door, DoorState, DoorEvent> Chart(
      Chart::parse(R"(<scxml initial="closed"><state id="closed">
        <transition event="push" cond="may" target="open">
        <cw:call hook="count"/></transition></state><state id="open">
        <transition event="pull" target="closed"/></state></scxml>)",
                   "door"),
      {{"may", [](const Door &) { return true; }}},
      {{"count", [](Door &Subject) { ++Subject.m_Count; }}});
  Door Subject;
  while (State.KeepRunning()) {
    Chart.fire(Subject, DoorEvent::Push);
    Chart.fire(Subject, DoorEvent::Pull);
  }
  benchmark::DoNotOptimize(Subject.m_Count);
  State.SetItemsProcessed(State.iterations() * 2);
}
BENCHMARK(chartTransition);

class SinkTransport final : public ITransport {
public:
  void onReceive(Receiver Hook) override { m_Receiver = std::move(Hook); }
  ChannelId open(const std::string &) override { return ++m_Last; }
  void send(ChannelId, Envelope Value) override {
    ++m_Messages;
    m_Bytes += encode(Value).size();
  }
  void redial(ChannelId) override {}
  void close(ChannelId) override {}
  Receiver m_Receiver;
  ChannelId m_Last = 0;
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Bytes = 0;
};

/// One second of an entry with idle links: heartbeats of all agents arrive
/// and its own go out.
void idleLinksForASecond(benchmark::State &State) {
  ChartFolder Charts(CW_CHART_DIR);
  ManualTimerService Timers;
  MetricsFake Metrics;
  SinkTransport Transport;
  auto Links = makeLinks({"e", Own, "127.0.0.1:1", "d", Role::Entry},
                         LinkSettings{}, Charts, Transport, Timers, Metrics);
  Links->setHooks({[](const Peer &) {}, [](Incarnation, Message &) {},
                   [](const Peer &) {}, [](const std::string &) {}});
  auto Count = static_cast<std::uint32_t>(State.range(0));
  auto Receive = [&](std::uint32_t I, Message Body) {
    Envelope Value;
    Value.m_Sender = Incarnation{1000 + I};
    Value.m_Receiver = Own;
    Value.m_Link = I + 1;
    Value.m_Message = std::move(Body);
    Transport.m_Receiver(std::move(Value));
  };
  for (std::uint32_t I = 0; I < Count; ++I)
    Receive(I, Hello{"a" + std::to_string(I), "127.0.0.1:2", "d", Role::Agent,
                     false});
  std::uint64_t Before = Transport.m_Bytes;
  while (State.KeepRunning()) {
    for (std::uint32_t I = 0; I < Count; ++I)
      Receive(I, Heartbeat{});
    Timers.advance(seconds(1));
  }
  auto Seconds = static_cast<double>(State.iterations());
  State.counters["bytes_sent_per_s"] =
      static_cast<double>(Transport.m_Bytes - Before) / Seconds;
}
BENCHMARK(idleLinksForASecond)->Arg(11)->Arg(196)->Arg(980);

std::size_t heapInUse() { return mallinfo2().uordblks; }

/// Heap of a waiting task, in jobs of 20 tasks with payloads of 100 bytes.
void memoryOfWaitingTask(benchmark::State &State) {
  constexpr std::uint32_t Jobs = 5000;
  constexpr std::uint32_t TasksInJob = 20;
  double Bytes = 0;
  while (State.KeepRunning()) {
    EntryRig Rig(0, 1);
    std::size_t Before = heapInUse();
    for (std::uint32_t I = 0; I < Jobs; ++I)
      Rig.submit(TasksInJob);
    Bytes = static_cast<double>(heapInUse() - Before) / (Jobs * TasksInJob);
  }
  State.counters["bytes_per_task"] = Bytes;
}
BENCHMARK(memoryOfWaitingTask)->Iterations(1);

/// Heap of a worker at the entry, with its credits.
void memoryOfWorker(benchmark::State &State) {
  constexpr int Workers = 980;
  double Bytes = 0;
  while (State.KeepRunning()) {
    EntryRig Rig(1, 1);
    std::size_t Before = heapInUse();
    for (int I = 0; I < Workers; ++I)
      Rig.addWorker(Incarnation{5000 + static_cast<std::uint64_t>(I)});
    Bytes = static_cast<double>(heapInUse() - Before) / Workers;
  }
  State.counters["bytes_per_worker"] = Bytes;
}
BENCHMARK(memoryOfWorker)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
