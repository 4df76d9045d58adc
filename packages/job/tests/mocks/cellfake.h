#ifndef CYCLAMENWALK_JOB_TESTS_MOCKS_CELLFAKE_H
#define CYCLAMENWALK_JOB_TESTS_MOCKS_CELLFAKE_H

#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsmock.h"
#include "job/jobmodule.h"
#include "job/tests/mocks/configurationfake.h"
#include "slot/slotmodule.h"
#include "slot/tests/mocks/executormock.h"
#include "statechart/chartfolder.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace cyclamenwalk {

/// Links between the entries and agents of one test: messages wait until the
/// test delivers them, in order for each pair, as real links do.
class FakeNetwork {
public:
  struct Flight {
    Incarnation m_From;
    Incarnation m_To;
    Message m_Body;
  };

  /// The end of one process.
  class End final : public ILinks {
  public:
    End(FakeNetwork &Owner, Incarnation Own) : m_Owner(Owner), m_Own(Own) {}

    void setHooks(Hooks) override {}
    void connect(const std::string &) override {}
    void send(Incarnation To, Message Body) override {
      m_Owner.m_Flights.push_back({m_Own, To, std::move(Body)});
    }
    void disconnect(Incarnation) override {}
    bool isFlushed() const override { return true; }

  private:
    FakeNetwork &m_Owner;
    Incarnation m_Own;
  };

  /// Drops what is under way between two processes.
  void drop(Incarnation One, Incarnation Other) {
    std::erase_if(m_Flights, [&](const Flight &Known) {
      return (Known.m_From == One && Known.m_To == Other) ||
             (Known.m_From == Other && Known.m_To == One);
    });
  }

  std::deque<Flight> m_Flights;
};

/// One agent of a test with its backend server.
struct FakeAgent {
  FakeAgent(Incarnation Own, FakeNetwork &Network, const ChartFolder &Charts,
            ManualTimerService &Timers)
      : m_Own(Own), m_End(Network, Own),
        m_Slots(makeSlotService(SlotSettings{}, chooseByDemand, Charts, m_End,
                                m_Executor, Timers, m_Metrics)) {}

  void announce(std::uint32_t Slots, const std::string &Run = "r1") {
    BackendOffer Offer;
    Offer.m_Service = "gatepost";
    Offer.m_Run = Run;
    Offer.m_Slots = Slots;
    Offer.m_Cpus = 64;
    Offer.m_MemoryBytes = 1ULL << 38;
    m_Offer = Offer;
    renew();
  }

  /// The backend server announces itself again.
  void renew() { m_Slots->announce(m_Offer); }

  Incarnation m_Own;
  BackendOffer m_Offer;
  MetricsFake m_Metrics;
  FakeNetwork::End m_End;
  ExecutorFake m_Executor;
  std::unique_ptr<ISlotService> m_Slots;
};

/// One entry of a test.
struct FakeEntry {
  FakeEntry(Incarnation Own, FakeNetwork &Network, const ChartFolder &Charts,
            ConfigurationFake &Configuration, ManualTimerService &Timers,
            EntryShareSource Share, const PolicyHooks &Hooks)
      : m_Own(Own), m_End(Network, Own),
        m_Jobs(
            makeJobService(Own, JobSettings{}, Hooks, std::move(Share),
                           {Charts, m_End, Configuration, Timers, m_Metrics})) {
  }

  Incarnation m_Own;
  MetricsFake m_Metrics;
  FakeNetwork::End m_End;
  std::unique_ptr<IJobService> m_Jobs;
};

/// Entries and agents joined in memory, with time advanced by hand.
class CellFake {
public:
  CellFake(std::size_t Entries, std::size_t Agents, std::uint32_t Slots,
           const PolicyHooks &Hooks = {}) {
    m_Configuration.m_State.m_Services["gatepost"] = {};
    m_Configuration.m_State.m_Teams["vending"] = {};
    m_Configuration.m_State.m_Teams["memorial"] = {};
    for (std::size_t I = 0; I < Entries; ++I)
      m_Entries.push_back(std::make_unique<FakeEntry>(
          Incarnation{1 + I}, m_Network, m_Charts, m_Configuration, m_Timers,
          [Entries, I] {
            return EntryShare{Entries, I};
          },
          Hooks));
    for (std::size_t I = 0; I < Agents; ++I)
      addAgent(Slots);
    m_Timers.subscribeEvery(seconds(1), [this] {
      for (auto &Known : m_Agents)
        Known->renew();
    });
    deliver();
  }

  FakeEntry &entry(std::size_t I) { return *m_Entries[I]; }
  FakeAgent &agent(std::size_t I) { return *m_Agents[I]; }

  /// Adds an agent and links it to every entry.
  FakeAgent &addAgent(std::uint32_t Slots) {
    Incarnation Own{100 + ++m_LastAgent};
    m_Agents.push_back(
        std::make_unique<FakeAgent>(Own, m_Network, m_Charts, m_Timers));
    for (auto &Known : m_Entries)
      link(*Known, *m_Agents.back());
    m_Agents.back()->announce(Slots);
    return *m_Agents.back();
  }

  static Peer peer(Incarnation Id, Role Kind) {
    return {toString(Id), Id, "", "domain", Kind};
  }

  void link(FakeEntry &Entry, FakeAgent &Agent) {
    Entry.m_Jobs->agentUp(peer(Agent.m_Own, Role::Agent));
    Agent.m_Slots->entryUp(peer(Entry.m_Own, Role::Entry));
  }

  /// The link lapses at both ends; what is under way is lost.
  void unlink(FakeEntry &Entry, FakeAgent &Agent) {
    m_Network.drop(Entry.m_Own, Agent.m_Own);
    Entry.m_Jobs->agentDown(peer(Agent.m_Own, Role::Agent));
    Agent.m_Slots->entryDown(peer(Entry.m_Own, Role::Entry));
  }

  /// Delivers the oldest message; false when there is none.
  bool deliverOne() {
    if (m_Network.m_Flights.empty())
      return false;
    FakeNetwork::Flight Next = std::move(m_Network.m_Flights.front());
    m_Network.m_Flights.pop_front();
    ++m_Messages;
    for (auto &Known : m_Entries)
      if (Known->m_Own == Next.m_To)
        Known->m_Jobs->receive(Next.m_From, Next.m_Body);
    for (auto &Known : m_Agents)
      if (Known->m_Own == Next.m_To)
        Known->m_Slots->receive(Next.m_From, Next.m_Body);
    return true;
  }

  void deliver() {
    while (deliverOne()) {
    }
  }

  /// Advances time with announcements and deliveries.
  void advance(Duration Span) {
    constexpr Duration Step = milliseconds(5);
    for (Duration Left = Span; Left > Duration::zero(); Left -= Step) {
      m_Timers.advance(Step);
      deliver();
    }
  }

  static JobSpec spec(std::uint32_t Tasks,
                      const std::string &Team = "vending") {
    JobSpec Spec;
    Spec.m_Service = "gatepost";
    Spec.m_Kind = "candle";
    Spec.m_Team = Team;
    for (std::uint32_t I = 0; I < Tasks; ++I)
      Spec.m_Payloads.push_back("p" + std::to_string(I));
    return Spec;
  }

  JobId submit(std::size_t Entry, JobSpec Spec) {
    return entry(Entry).m_Jobs->submit(
        std::move(Spec),
        [this](const JobAnswer &Whole) { m_Answers.push_back(Whole); });
  }

  /// Ends every task that runs, with its index as the answer.
  std::size_t finishAll(ResultCode Code = ResultCode::Ok) {
    std::size_t Count = 0;
    for (auto &Known : m_Agents)
      while (!Known->m_Executor.m_Running.empty()) {
        TaskId Task = Known->m_Executor.m_Running.begin()->first;
        Known->m_Executor.finish(Task, Code, std::to_string(Task.m_Index));
        ++Count;
      }
    deliver();
    return Count;
  }

  /// Starts of one task, on all agents together.
  int starts(TaskId Task) const {
    int Count = 0;
    for (const auto &Known : m_Agents) {
      auto Found = Known->m_Executor.m_Starts.find(Task);
      if (Found != Known->m_Executor.m_Starts.end())
        Count += Found->second;
    }
    return Count;
  }

  std::size_t running() const {
    std::size_t Count = 0;
    for (const auto &Known : m_Agents)
      Count += Known->m_Executor.m_Running.size();
    return Count;
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  ConfigurationFake m_Configuration;
  FakeNetwork m_Network;
  std::vector<std::unique_ptr<FakeEntry>> m_Entries;
  std::vector<std::unique_ptr<FakeAgent>> m_Agents;
  std::vector<JobAnswer> m_Answers;
  std::uint64_t m_Messages = 0;

private:
  std::uint64_t m_LastAgent = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_TESTS_MOCKS_CELLFAKE_H
