#include "batch/batchmodule.h"
#include "batch/tests/servermodel.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "membership/tests/mocks/linksfake.h"
#include "statechart/chartfolder.h"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <numbers>
#include <random>

using namespace cyclamenwalk;

namespace {

constexpr std::size_t Entries = 13;
constexpr std::size_t Placers = 6;
constexpr std::size_t Servers = 71;
constexpr std::size_t LinksPerServer = 4;
constexpr std::size_t Kinds = 3;
constexpr std::size_t WidthParts = 3;
constexpr std::size_t LongKind = 1;
constexpr Duration ReportPeriod = milliseconds(150);
constexpr Duration StatePeriod = milliseconds(200);
constexpr Duration Deadline = milliseconds(1500);
constexpr double LateWorth = 0.2;

struct Kind {
  double m_Rate;
  std::uint32_t m_Tasks;
  Duration m_RunTime;
  double m_Worth;
};
constexpr std::array<Kind, Kinds> KindsOfJobs{
    {{206, 8, milliseconds(60), 0.00485},
     {37.5, 4, milliseconds(900), 0.0267},
     {600, 2, milliseconds(200), 0.00167}}};

/// A peak: demand rises in waves; during the burst one kind comes at a multiple
/// of its rate and a third of the servers have left.
struct Scenario {
  double m_Demand = 1;
  double m_WaveHeight = 0.35;
  double m_Burst = 2;
  bool m_ServersLeave = true;
  std::array<std::uint32_t, Kinds> m_Priorities{};
  unsigned m_Seed = 1;
};
constexpr Duration BurstStart = seconds(5);
constexpr Duration BurstEnd = seconds(13);
constexpr Duration ReplayEnd = seconds(15);

struct Count {
  double m_Offered = 0;
  double m_Served = 0;
  double m_Timely = 0;
  double share() const { return m_Offered > 0 ? m_Served / m_Offered : 1; }
};

struct Outcomes {
  std::array<Count, Kinds> m_Kinds;
  /// Usual, wide and widest jobs of all kinds.
  std::array<Count, WidthParts> m_Widths;
  double worstKind() const {
    double Worst = 1;
    for (const Count &Kind : m_Kinds)
      Worst = std::min(Worst, Kind.share());
    return Worst;
  }
  double worth() const {
    double Sum = 0;
    for (std::size_t I = 0; I < Kinds; ++I)
      Sum += KindsOfJobs[I].m_Worth *
             (m_Kinds[I].m_Timely +
              LateWorth * (m_Kinds[I].m_Served - m_Kinds[I].m_Timely));
    return Sum;
  }
};

/// Entries that run the batch service on servers that are simulated.
class Replay {
public:
  Replay(Scenario Peak, bool IsFair) : m_Peak(Peak), m_Arrivals(Peak.m_Seed) {
    for (std::size_t I = 0; I < Servers; ++I) {
      bool IsFast = I % 3 == 0;
      m_Servers.push_back(std::make_unique<ServerModel>(
          IsFast ? 48 : 32, IsFast ? 1.3 : 1, m_Timers,
          [this, I](Incarnation Entry, Message Body) {
            deliver([this, I, Entry, Body = std::move(Body)]() mutable {
              m_Placers[Entry.m_Value]->m_Jobs->receive(agent(I), Body);
            });
          }));
    }
    BatchSettings Settings;
    Settings.m_FairAdmission = IsFair;
    for (std::size_t I = 0; I < Placers; ++I) {
      auto &Added = m_Placers.emplace_back(std::make_unique<Placer>());
      Added->m_Links.m_OnSend = [this, I](Incarnation To, Message Body) {
        deliver([this, I, To, Body = std::move(Body)] {
          m_Servers[To.m_Value - FirstAgent]->receive({I}, Body);
        });
      };
      Added->m_Jobs =
          makeBatchService({I}, Settings, BatchHooks{},
                           {m_Charts, Added->m_Links, m_Timers, m_Metrics});
    }
    link();
  }

  Outcomes run() {
    for (std::size_t I = 0; I < Kinds; ++I)
      scheduleArrival(I);
    m_Timers.subscribeEvery(StatePeriod, [this] { exchange(); });
    m_Timers.advance(ReplayEnd + Deadline);
    return m_Outcomes;
  }

private:
  static constexpr std::uint64_t FirstAgent = 1000;
  struct SendingLinks final : ILinks {
    void setHooks(Hooks) override {}
    void connect(const std::string &) override {}
    void send(Incarnation To, Message Body) override {
      m_OnSend(To, std::move(Body));
    }
    void disconnect(Incarnation) override {}
    TimePoint confirmedAliveAt(Incarnation) const override { return {}; }
    TimePoint callersAliveAt(Incarnation) const override { return {}; }
    bool isFlushed() const override { return true; }
    std::function<void(Incarnation, Message)> m_OnSend;
  };
  struct Placer {
    SendingLinks m_Links;
    std::unique_ptr<IBatchService> m_Jobs;
    std::int64_t m_StatedRoom = 0;
  };

  static Incarnation agent(std::size_t Server) { return {FirstAgent + Server}; }

  static double uniform(std::mt19937_64 &Random) {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  void deliver(std::function<void()> Receive) {
    m_Timers.subscribe(milliseconds(1) +
                           scaled(milliseconds(6), uniform(m_Delays)),
                       std::move(Receive));
  }

  void link() {
    for (std::size_t I = 0; I < Servers; ++I) {
      for (std::size_t J = 0; J < LinksPerServer; ++J) {
        Incarnation Entry{(I + J) % Placers};
        m_Placers[Entry.m_Value]->m_Jobs->agentUp(
            {"", agent(I), "", "", Role::Agent});
        auto SendReport = [this, I, Entry] {
          Message Body = m_Servers[I]->report(Entry);
          m_Placers[Entry.m_Value]->m_Jobs->receive(agent(I), Body);
        };
        SendReport();
        m_Timers.subscribe(scaled(ReportPeriod, uniform(m_Delays)), [=, this] {
          m_Timers.subscribeEvery(ReportPeriod, SendReport);
        });
      }
      if (!m_Peak.m_ServersLeave || I % 3 != 1)
        continue;
      m_Timers.subscribe(BurstStart, [this, I] { m_Servers[I]->leave(); });
      m_Timers.subscribe(BurstEnd, [this, I] { m_Servers[I]->comeBack(); });
    }
  }

  bool isBurst() const {
    Duration Elapsed = m_Timers.now() - m_Start;
    return Elapsed >= BurstStart && Elapsed < BurstEnd;
  }

  double rate(std::size_t KindIndex) const {
    double Elapsed =
        std::chrono::duration<double>(m_Timers.now() - m_Start).count();
    double Wave =
        1 + m_Peak.m_WaveHeight * std::sin(2 * std::numbers::pi * Elapsed / 13);
    bool IsMore = KindIndex == LongKind && isBurst();
    return KindsOfJobs[KindIndex].m_Rate * m_Peak.m_Demand * Wave *
           (IsMore ? m_Peak.m_Burst : 1);
  }

  void scheduleArrival(std::size_t KindIndex) {
    double Gap =
        std::exponential_distribution<double>(rate(KindIndex))(m_Arrivals);
    m_Timers.subscribe(scaled(seconds(1), Gap), [this, KindIndex] {
      if (m_Timers.now() - m_Start > ReplayEnd)
        return;
      arrive(KindIndex);
      scheduleArrival(KindIndex);
    });
  }

  void arrive(std::size_t KindIndex) {
    const Kind &Drawn = KindsOfJobs[KindIndex];
    double Percentile = uniform(m_Arrivals);
    std::size_t Width = Percentile < 0.7 ? 0 : Percentile < 0.9 ? 1 : 2;
    constexpr std::array<double, WidthParts> WidthFactors{0.7, 1.3, 2.5};
    Duration RunTime = scaled(Drawn.m_RunTime, 0.7 + 0.6 * uniform(m_Arrivals));
    std::size_t Entry = m_Arrivals() % Entries;
    BatchSpec Spec;
    Spec.m_Name = std::to_string(++m_LastJob);
    Spec.m_Route = "kind" + std::to_string(KindIndex);
    Spec.m_Service = "replay";
    Spec.m_Spec = std::to_string(
        std::chrono::duration_cast<microseconds>(RunTime).count());
    Spec.m_Tasks = Drawn.m_Tasks;
    Spec.m_Required = {
        static_cast<std::int64_t>(3400 * WidthFactors[Width] *
                                  (0.9 + 0.2 * uniform(m_Arrivals))),
        64};
    Spec.m_EstimatedRunTime = scaled(RunTime, 0.6 + 0.8 * uniform(m_Arrivals));
    Spec.m_Deadline = Deadline;
    Spec.m_MaxAttempts = 2;
    Spec.m_Priority = m_Peak.m_Priorities[KindIndex];
    Spec.m_SlackFactor = 1.6;
    Spec.m_TargetLatency = milliseconds(60);
    Spec.m_OriginDomain = "z" + std::to_string(Entry % 3);
    TimePoint Objective =
        m_Timers.now() + scaled(RunTime, 1.6) + milliseconds(60);
    bool IsCounted = isBurst();
    if (IsCounted) {
      ++m_Outcomes.m_Kinds[KindIndex].m_Offered;
      ++m_Outcomes.m_Widths[Width].m_Offered;
    }
    auto Done = [=, this] {
      if (!IsCounted)
        return;
      bool IsTimely = m_Timers.now() <= Objective;
      for (Count *Part :
           {&m_Outcomes.m_Kinds[KindIndex], &m_Outcomes.m_Widths[Width]}) {
        ++Part->m_Served;
        Part->m_Timely += IsTimely ? 1 : 0;
      }
    };
    deliver([this, Entry, Spec, Done] { offer(Entry, Spec, Done); });
  }

  /// As the forwarding service does: to this entry if it has room, or else to
  /// the freer of two, and once more where the room is stated.
  void offer(std::size_t Entry, const BatchSpec &Spec,
             const std::function<void()> &Done) {
    std::int64_t Needed = Spec.m_Required.m_MilliCores * Spec.m_Tasks;
    std::size_t Owner = m_Delays() % Placers;
    std::size_t Other = m_Delays() % Placers;
    if (m_Placers[Other]->m_StatedRoom > m_Placers[Owner]->m_StatedRoom)
      Owner = Other;
    if (Entry < Placers && m_Placers[Entry]->m_StatedRoom >= Needed)
      Owner = Entry;
    m_Placers[Owner]->m_StatedRoom -= Needed;
    auto Callback = [this, Owner, Needed, Spec,
                     Done](const BatchAnswer &Answer) {
      if (Answer.m_Code == ResultCode::Ok)
        return Done();
      if (Answer.m_Code != ResultCode::DeadlineUnreachable || Spec.m_WasRefused)
        return;
      for (std::size_t I = 0; I < Placers; ++I)
        if (I != Owner && m_Placers[I]->m_StatedRoom >= Needed)
          return offerAgain(I, Spec, Done);
    };
    m_Placers[Owner]->m_Jobs->submit(Spec, Callback);
  }

  void offerAgain(std::size_t Owner, BatchSpec Spec,
                  const std::function<void()> &Done) {
    Spec.m_WasRefused = true;
    m_Placers[Owner]->m_Jobs->submit(Spec, [Done](const BatchAnswer &Answer) {
      if (Answer.m_Code == ResultCode::Ok)
        Done();
    });
  }

  void exchange() {
    for (std::size_t I = 0; I < Placers; ++I) {
      auto Rooms = m_Placers[I]->m_Jobs->rooms();
      m_Placers[I]->m_StatedRoom =
          Rooms.empty() ? 0 : Rooms[0].m_FreeMilliCores;
      for (std::size_t J = 0; J < Placers; ++J)
        if (J != I)
          m_Placers[J]->m_Jobs->receiveGroupWork(
              {I}, m_Placers[I]->m_Jobs->groupWork());
    }
  }

  const Scenario m_Peak;
  ChartFolder m_Charts{CW_CHART_DIR};
  MetricsFake m_Metrics;
  ManualTimerService m_Timers;
  const TimePoint m_Start = m_Timers.now();
  /// Separate, so that the same jobs arrive whatever is decided.
  std::mt19937_64 m_Arrivals;
  std::mt19937_64 m_Delays;
  std::vector<std::unique_ptr<ServerModel>> m_Servers;
  std::vector<std::unique_ptr<Placer>> m_Placers;
  std::uint64_t m_LastJob = 0;
  Outcomes m_Outcomes;
};

Outcomes replay(Scenario Peak, bool IsFair) {
  Outcomes Result = Replay(Peak, IsFair).run();
  std::printf("%s:", IsFair ? "fair    " : "baseline");
  for (const Count &Kind : Result.m_Kinds)
    std::printf(" %.3f (timely %.3f)", Kind.share(),
                Kind.m_Timely / Kind.m_Offered);
  std::printf("; worst %.3f; worth %.1f; widths", Result.worstKind(),
              Result.worth());
  for (const Count &Width : Result.m_Widths)
    std::printf(" %.3f", Width.share());
  std::printf("\n");
  return Result;
}

/// Guards against a kind, or its wide jobs, that loses service to others while
/// capacity is short, and against paying for it with what is served in all.
TEST(FairAdmissionReplay, ServesTheWorstKindMoreAtAPeak) {
  for (unsigned Seed : {1U, 2U, 3U}) {
    Scenario Peak;
    Peak.m_Demand = 1.5;
    Peak.m_Seed = Seed;
    Outcomes Baseline = replay(Peak, false);
    Outcomes Fair = replay(Peak, true);
    EXPECT_GT(Fair.worstKind(), Baseline.worstKind());
    EXPECT_GE(Fair.worth(), Baseline.worth());
    EXPECT_GE(Fair.m_Widths[2].share(), Baseline.m_Widths[2].share());
  }
}

/// The same where the configuration gives kinds priorities, which the baseline
/// turns into steps. What the lower ones gain costs some worth.
TEST(FairAdmissionReplay, ServesALowPriorityMoreAtAPeak) {
  Scenario Peak;
  Peak.m_Demand = 1.5;
  Peak.m_Priorities = {0, 1, 2};
  Outcomes Baseline = replay(Peak, false);
  Outcomes Fair = replay(Peak, true);
  constexpr double MaxWorthLoss = 0.02;
  EXPECT_GT(Fair.worstKind(), Baseline.worstKind());
  EXPECT_GE(Fair.worth(), (1 - MaxWorthLoss) * Baseline.worth());
}

/// Guards against refusals for the sake of shares while there is room.
TEST(FairAdmissionReplay, ServesAllWhileCapacitySuffices) {
  Scenario Calm;
  Calm.m_Demand = 0.7;
  EXPECT_EQ(replay(Calm, true).worstKind(), 1);
}

} // namespace
