#include "placementreplay.h"

#include "batch/batchmodule.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "statechart/chartfolder.h"
#include "worker/workermodule.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace cyclamenwalk {

namespace {

constexpr Duration LinkDelay = milliseconds(1);
constexpr Duration AnnouncePeriod = milliseconds(500);
constexpr Duration Deadline = milliseconds(1500);
constexpr Duration TargetLatency = milliseconds(60);
constexpr double SlackFactor = 1.6;
/// Reports of an agent to one entry are at least this far apart.
constexpr Duration ReportPeriod = milliseconds(40);
constexpr double FullProgress = 100;
constexpr std::uint64_t FirstAgent = 100;

/// Delivers messages after LinkDelay; the peers are always confirmed alive.
class ReplayLinks final : public ILinks {
public:
  using Deliver = std::function<void(Incarnation To, Message &Body)>;

  ReplayLinks(ManualTimerService &Timers, Deliver OnDue)
      : m_Timers(Timers), m_OnDue(std::move(OnDue)) {}

  void setHooks(Hooks) override {}
  void connect(const std::string &) override {}
  void send(Incarnation To, Message Body) override {
    m_Timers.subscribe(LinkDelay, [this, To, Body = std::move(Body)]() mutable {
      m_OnDue(To, Body);
    });
  }
  void disconnect(Incarnation) override {}
  TimePoint confirmedAliveAt(Incarnation) const override {
    return m_Timers.now();
  }
  TimePoint callersAliveAt(Incarnation) const override {
    return m_Timers.now();
  }
  bool isFlushed() const override { return true; }

private:
  ManualTimerService &m_Timers;
  const Deliver m_OnDue;
};

/// A backend server that runs each task for the time stated in its text.
class ReplayServer final : public IBackendControl {
public:
  explicit ReplayServer(ManualTimerService &Timers) : m_Timers(Timers) {}

  void start(StartOrder Order, std::function<void(OrderReply)> Done) override {
    Duration RunTime = microseconds(std::stoll(Order.m_Spec));
    RunId Id = Order.m_Run;
    m_Running[Id] = {m_Timers.now(), RunTime};
    m_Timers.subscribe(RunTime, [this, Id] { end(Id, RunOutcome::Succeeded); });
    reply(std::move(Done));
  }

  void stop(StopOrder Order, std::function<void(OrderReply)> Done) override {
    end(Order.m_Run, RunOutcome::Stopped);
    reply(std::move(Done));
  }

  void hold(HoldOrder Order, std::function<void(HoldReply)> Done) override {
    std::erase_if(m_Ended, [&Order](const EndedRun &Ended) {
      return Ended.m_Number <= Order.m_LastEndNumber;
    });
    std::uint64_t Hold = ++m_LastHold;
    m_Holds[Hold] = std::move(Done);
    Duration Wait = m_Ended.empty() ? Order.m_Wait : LinkDelay;
    m_Timers.subscribe(Wait, [this, Hold] { answer(Hold); });
  }

private:
  struct Active {
    TimePoint m_StartedAt;
    Duration m_RunTime{};
  };

  void reply(std::function<void(OrderReply)> Done) {
    m_Timers.subscribe(LinkDelay, [this, Done = std::move(Done)] {
      Done({OrderOutcome::Done, clock()});
    });
  }

  void end(const RunId &Id, RunOutcome Outcome) {
    if (m_Running.erase(Id) == 0)
      return;
    m_Ended.push_back({++m_LastEnd, Id, Outcome});
    for (const auto &Item : m_Holds)
      m_Timers.subscribe(LinkDelay,
                         [this, Hold = Item.first] { answer(Hold); });
  }

  void answer(std::uint64_t Hold) {
    auto It = m_Holds.find(Hold);
    if (It == m_Holds.end())
      return;
    auto Done = std::move(It->second);
    m_Holds.erase(It);
    HoldReply Reply;
    Reply.m_Outcome = OrderOutcome::Done;
    Reply.m_Clock = clock();
    for (const auto &Item : m_Running)
      Reply.m_Running.push_back({Item.first, progress(Item.second)});
    Reply.m_Ended = m_Ended;
    Done(std::move(Reply));
  }

  std::uint32_t progress(const Active &Run) const {
    double Elapsed =
        static_cast<double>((m_Timers.now() - Run.m_StartedAt).count());
    return static_cast<std::uint32_t>(
        FullProgress * Elapsed / static_cast<double>(Run.m_RunTime.count()));
  }

  Duration clock() const { return m_Timers.now().time_since_epoch(); }

  ManualTimerService &m_Timers;
  std::map<RunId, Active> m_Running;
  std::vector<EndedRun> m_Ended;
  std::map<std::uint64_t, std::function<void(HoldReply)>> m_Holds;
  std::uint64_t m_LastHold = 0;
  std::uint64_t m_LastEnd = 0;
};

class Replay {
public:
  Replay(ReplayLoad Load, bool LooksAhead)
      : m_Load(std::move(Load)), m_Random(m_Load.m_Seed) {
    for (std::uint64_t I = 1; I <= m_Load.m_Entries; ++I)
      addEntry({I}, LooksAhead);
    for (std::uint64_t I = 0; I < m_Load.m_Servers; ++I)
      addServer({FirstAgent + I}, LooksAhead);
  }

  ReplayResult run() {
    announce();
    m_Timers.subscribeEvery(AnnouncePeriod, [this] { announce(); });
    m_Timers.advance(seconds(1));
    m_StartedAt = m_Timers.now();
    for (std::size_t I = 0; I < m_Load.m_Kinds.size(); ++I)
      scheduleArrival(I);
    m_Timers.advance(m_Load.m_Length + 2 * Deadline);
    for (std::size_t I = 0; I < m_Result.m_Counts.size(); ++I)
      m_Result.m_Counts[I] = m_Metrics.of(static_cast<Metric>(I));
    return std::move(m_Result);
  }

private:
  struct Entry {
    std::unique_ptr<ReplayLinks> m_Links;
    std::unique_ptr<IBatchService> m_Jobs;
  };
  struct Agent {
    std::unique_ptr<ReplayLinks> m_Links;
    std::unique_ptr<ReplayServer> m_Server;
    std::unique_ptr<IWorkerService> m_Worker;
  };

  void addEntry(Incarnation Id, bool LooksAhead) {
    Entry &Added = m_Entries[Id];
    Added.m_Links = std::make_unique<ReplayLinks>(
        m_Timers, [this, Id](Incarnation To, Message &Body) {
          m_Agents.at(To).m_Worker->receive(Id, Body);
        });
    BatchSettings Settings;
    Settings.m_LookAhead = LooksAhead;
    Settings.m_MaxReportsPerSecond =
        static_cast<double>(m_Load.m_Servers) * seconds(1) / ReportPeriod;
    Added.m_Jobs =
        makeBatchService(Id, Settings, BatchHooks{},
                         {m_Charts, *Added.m_Links, m_Timers, m_Metrics});
  }

  void addServer(Incarnation Id, bool LooksAhead) {
    Agent &Added = m_Agents[Id];
    Added.m_Links = std::make_unique<ReplayLinks>(
        m_Timers, [this, Id](Incarnation To, Message &Body) {
          m_Entries.at(To).m_Jobs->receive(Id, Body);
        });
    Added.m_Server = std::make_unique<ReplayServer>(m_Timers);
    WorkerSettings Settings;
    Settings.m_LookAhead = LooksAhead;
    Added.m_Worker =
        makeWorkerService(Settings, {m_Charts, *Added.m_Links, *Added.m_Server,
                                     m_Timers, m_Metrics, [] { return 1; }});
    for (auto &Item : m_Entries) {
      Added.m_Worker->entryUp({"e", Item.first, "", "z", Role::Entry});
      Item.second.m_Jobs->agentUp({"a", Id, "", "z", Role::Agent});
    }
  }

  void announce() {
    ++m_Sequence;
    for (auto &Item : m_Agents) {
      BackendAnnouncement Announcement;
      Announcement.m_Instance = toString(Item.first);
      Announcement.m_Address = "10.0.0.9:80";
      Announcement.m_Service = "s";
      Announcement.m_Capacity = {m_Load.m_CapacityMilliCores, 262144, 0};
      Announcement.m_Sequence = m_Sequence;
      Item.second.m_Worker->announce(Announcement);
    }
  }

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }

  void scheduleArrival(std::size_t KindIndex) {
    const ReplayKind &Kind = m_Load.m_Kinds[KindIndex];
    Duration Elapsed = m_Timers.now() - m_StartedAt;
    if (Elapsed >= m_Load.m_Length)
      return;
    bool IsBurst = KindIndex + 1 == m_Load.m_Kinds.size() &&
                   Elapsed >= m_Load.m_BurstFrom &&
                   Elapsed < m_Load.m_BurstUntil;
    double Rate = Kind.m_JobsPerSecond * (IsBurst ? m_Load.m_BurstFactor : 1);
    Duration Delay = scaled(seconds(1), -std::log(1 - uniform()) / Rate);
    m_Timers.subscribe(Delay, [this, KindIndex] {
      submit(m_Load.m_Kinds[KindIndex]);
      scheduleArrival(KindIndex);
    });
  }

  void submit(const ReplayKind &Kind) {
    bool IsWide = uniform() < m_Load.m_WideShare;
    bool IsTail = uniform() < m_Load.m_TailShare;
    Duration RunTime = scaled(Kind.m_RunTime, 0.5 + uniform());
    double Error = std::exp(
        std::normal_distribution<double>(0, m_Load.m_EstimateError)(m_Random));
    BatchSpec Spec;
    Spec.m_EstimatedRunTime = scaled(RunTime, Error);
    if (IsTail)
      RunTime = scaled(RunTime, m_Load.m_TailFactor);
    Spec.m_Name = Spec.m_BackendName = "j" + std::to_string(++m_LastJob);
    Spec.m_Service = "s";
    Spec.m_Spec = std::to_string(
        std::chrono::duration_cast<microseconds>(RunTime).count());
    Spec.m_Tasks = Kind.m_Tasks;
    Spec.m_Required = {m_Load.m_MilliCores, 64, 0};
    if (IsWide)
      Spec.m_Required.m_MilliCores = static_cast<std::int64_t>(
          static_cast<double>(m_Load.m_MilliCores) * m_Load.m_WideFactor);
    Spec.m_Deadline = Deadline;
    Spec.m_MaxAttempts = 2;
    Spec.m_SlackFactor = SlackFactor;
    Spec.m_TargetLatency = TargetLatency;
    ReplayGroup &Group =
        m_Result.m_Groups[Kind.m_Name + (IsWide ? " wide" : "")];
    ++Group.m_Offered;
    auto It = m_Entries.begin();
    std::advance(It, m_LastJob % m_Entries.size());
    TimePoint SubmittedAt = m_Timers.now();
    It->second.m_Jobs->submit(
        std::move(Spec),
        [this, &Group, SubmittedAt, RunTime](const BatchAnswer &Answer) {
          record(Group, m_Timers.now() - SubmittedAt, RunTime, Answer.m_Code);
        });
  }

  static void record(ReplayGroup &Group, Duration JobTime, Duration RunTime,
                     ResultCode Code) {
    if (Code != ResultCode::Ok || JobTime > Deadline)
      return;
    ++Group.m_Served;
    Group.m_InTime += JobTime <= scaled(RunTime, SlackFactor) + TargetLatency;
    Group.m_Waits.push_back(JobTime - RunTime);
  }

  const ReplayLoad m_Load;
  std::mt19937 m_Random;
  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  std::map<Incarnation, Agent> m_Agents;
  std::map<Incarnation, Entry> m_Entries;
  ReplayResult m_Result;
  TimePoint m_StartedAt;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_LastJob = 0;
};

double shareOf(std::size_t Part, std::size_t All) {
  return All == 0 ? 0 : static_cast<double>(Part) / static_cast<double>(All);
}

} // namespace

ReplayLoad makePeakLoad(std::uint32_t Seed) {
  ReplayLoad Load;
  double Scale = static_cast<double>(Load.m_Servers) / 47;
  Load.m_Kinds = {{"short", 206 * Scale, 8, milliseconds(60)},
                  {"middle", 600 * Scale, 2, milliseconds(200)},
                  {"long", 37.5 * Scale, 4, milliseconds(900)}};
  Load.m_Seed = Seed;
  return Load;
}

Duration ReplayGroup::waitQuantile(double Quantile) const {
  if (m_Waits.empty())
    return {};
  auto Sorted = m_Waits;
  std::sort(Sorted.begin(), Sorted.end());
  auto Last = static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(Quantile * Last)];
}

double ReplayGroup::servedShare() const { return shareOf(m_Served, m_Offered); }

double ReplayGroup::inTimeShare() const { return shareOf(m_InTime, m_Offered); }

ReplayGroup ReplayResult::sum(bool IsWide) const {
  ReplayGroup Sum;
  for (const auto &Item : m_Groups) {
    if (Item.first.ends_with(" wide") != IsWide)
      continue;
    const ReplayGroup &Group = Item.second;
    Sum.m_Offered += Group.m_Offered;
    Sum.m_Served += Group.m_Served;
    Sum.m_InTime += Group.m_InTime;
    Sum.m_Waits.insert(Sum.m_Waits.end(), Group.m_Waits.begin(),
                       Group.m_Waits.end());
  }
  return Sum;
}

ReplayResult replayPlacement(const ReplayLoad &Load, bool LooksAhead) {
  return Replay(Load, LooksAhead).run();
}

} // namespace cyclamenwalk
