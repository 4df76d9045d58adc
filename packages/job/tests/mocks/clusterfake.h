#ifndef CYCLAMENWALK_JOB_TESTS_MOCKS_CLUSTERFAKE_H
#define CYCLAMENWALK_JOB_TESTS_MOCKS_CLUSTERFAKE_H

#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
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

/// Links between the entries and agents of a test. Messages wait until the test
/// delivers them. Like real links, it keeps the order for each pair.
class FakeNetwork {
public:
  struct PendingMessage {
    Incarnation m_From;
    Incarnation m_To;
    Message m_Body;
  };

  /// The links of one process.
  class Endpoint final : public ILinks {
  public:
    Endpoint(FakeNetwork &Network, Incarnation Id)
        : m_Network(Network), m_Incarnation(Id) {}

    void setHooks(Hooks) override {}
    void connect(const std::string &) override {}
    void send(Incarnation To, Message Body) override {
      m_Network.m_PendingMessages.push_back(
          {m_Incarnation, To, std::move(Body)});
    }
    void disconnect(Incarnation) override {}
    TimePoint confirmedAliveAt(Incarnation) const override { return {}; }
    TimePoint callersAliveAt(Incarnation) const override { return {}; }
    bool isFlushed() const override { return true; }

  private:
    FakeNetwork &m_Network;
    Incarnation m_Incarnation;
  };

  /// Drops the pending messages between two processes.
  void dropBetween(Incarnation First, Incarnation Second) {
    std::erase_if(m_PendingMessages, [&](const PendingMessage &Pending) {
      return (Pending.m_From == First && Pending.m_To == Second) ||
             (Pending.m_From == Second && Pending.m_To == First);
    });
  }

  std::deque<PendingMessage> m_PendingMessages;
};

/// An agent with its backend server.
struct FakeAgent {
  FakeAgent(Incarnation Id, FakeNetwork &Network, const ChartFolder &Charts,
            ManualTimerService &Timers)
      : m_Incarnation(Id), m_Endpoint(Network, Id),
        m_Slots(makeSlotService(SlotSettings{}, chooseByDemand, Charts,
                                m_Endpoint, m_Executor, Timers, m_Metrics)) {}

  void announce(std::uint32_t Slots, const std::string &Run = "r1") {
    BackendOffer Offer;
    Offer.m_Service = "gatepost";
    Offer.m_Instance = Run;
    Offer.m_Slots = Slots;
    Offer.m_Cpus = 64;
    Offer.m_MemoryBytes = 1ULL << 38;
    m_Offer = Offer;
    renew();
  }

  /// Repeats the announcement of the backend server.
  void renew() { m_Slots->announce(m_Offer); }

  Incarnation m_Incarnation;
  BackendOffer m_Offer;
  MetricsFake m_Metrics;
  FakeNetwork::Endpoint m_Endpoint;
  ExecutorFake m_Executor;
  std::unique_ptr<ISlotService> m_Slots;
};

/// An entry with its job service.
struct FakeEntry {
  FakeEntry(Incarnation Id, FakeNetwork &Network, const ChartFolder &Charts,
            ConfigurationFake &Configuration, ManualTimerService &Timers,
            EntryShareSource Share, const PolicyHooks &Hooks)
      : m_Incarnation(Id), m_Endpoint(Network, Id),
        m_Jobs(makeJobService(
            Id, JobSettings{}, Hooks, std::move(Share),
            {Charts, m_Endpoint, Configuration, Timers, m_Metrics})) {}

  Incarnation m_Incarnation;
  MetricsFake m_Metrics;
  FakeNetwork::Endpoint m_Endpoint;
  std::unique_ptr<IJobService> m_Jobs;
};

/// Entries and agents with links in memory and a manual clock.
class ClusterFake {
public:
  ClusterFake(std::size_t Entries, std::size_t Agents, std::uint32_t Slots,
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
      for (auto &Agent : m_Agents)
        Agent->renew();
    });
    deliver();
  }

  FakeEntry &entry(std::size_t I) { return *m_Entries[I]; }
  FakeAgent &agent(std::size_t I) { return *m_Agents[I]; }

  /// Adds an agent and links it to every entry.
  FakeAgent &addAgent(std::uint32_t Slots) {
    Incarnation Id{100 + ++m_LastAgentNumber};
    m_Agents.push_back(
        std::make_unique<FakeAgent>(Id, m_Network, m_Charts, m_Timers));
    for (auto &Entry : m_Entries)
      link(*Entry, *m_Agents.back());
    m_Agents.back()->announce(Slots);
    return *m_Agents.back();
  }

  static Peer peer(Incarnation Id, Role Kind) {
    return {toString(Id), Id, "", "domain", Kind};
  }

  void link(FakeEntry &Entry, FakeAgent &Agent) {
    Entry.m_Jobs->agentUp(peer(Agent.m_Incarnation, Role::Agent));
    Agent.m_Slots->entryUp(peer(Entry.m_Incarnation, Role::Entry));
  }

  /// Breaks the link at both ends. Pending messages are lost.
  void unlink(FakeEntry &Entry, FakeAgent &Agent) {
    m_Network.dropBetween(Entry.m_Incarnation, Agent.m_Incarnation);
    Entry.m_Jobs->agentDown(peer(Agent.m_Incarnation, Role::Agent));
    Agent.m_Slots->entryDown(peer(Entry.m_Incarnation, Role::Entry));
  }

  /// Delivers the oldest message. Returns false if there is none.
  bool deliverOne() {
    if (m_Network.m_PendingMessages.empty())
      return false;
    FakeNetwork::PendingMessage Next =
        std::move(m_Network.m_PendingMessages.front());
    m_Network.m_PendingMessages.pop_front();
    ++m_Messages;
    for (auto &Entry : m_Entries)
      if (Entry->m_Incarnation == Next.m_To)
        Entry->m_Jobs->receive(Next.m_From, Next.m_Body);
    for (auto &Agent : m_Agents)
      if (Agent->m_Incarnation == Next.m_To)
        Agent->m_Slots->receive(Next.m_From, Next.m_Body);
    return true;
  }

  void deliver() {
    while (deliverOne()) {
    }
  }

  /// Advances the clock in small steps and delivers all messages after each.
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
        [this](const JobAnswer &Answer) { m_Answers.push_back(Answer); });
  }

  /// Ends every running task. The answer of a task is its index.
  std::size_t finishAll(ResultCode Code = ResultCode::Ok) {
    std::size_t Count = 0;
    for (auto &Agent : m_Agents)
      while (!Agent->m_Executor.m_Running.empty()) {
        TaskId Task = Agent->m_Executor.m_Running.begin()->first;
        Agent->m_Executor.finish(Task, Code, std::to_string(Task.m_Index));
        ++Count;
      }
    deliver();
    return Count;
  }

  /// Returns how often a task was started on all agents together.
  int starts(TaskId Task) const {
    int Count = 0;
    for (const auto &Agent : m_Agents) {
      auto It = Agent->m_Executor.m_Starts.find(Task);
      if (It != Agent->m_Executor.m_Starts.end())
        Count += It->second;
    }
    return Count;
  }

  std::size_t running() const {
    std::size_t Count = 0;
    for (const auto &Agent : m_Agents)
      Count += Agent->m_Executor.m_Running.size();
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
  std::uint64_t m_LastAgentNumber = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_TESTS_MOCKS_CLUSTERFAKE_H
