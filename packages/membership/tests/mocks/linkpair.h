#ifndef CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKPAIR_H
#define CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKPAIR_H

#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "membership/internal/links.h"
#include "statechart/chartfolder.h"

#include <functional>
#include <map>
#include <vector>

namespace cyclamenwalk {

/// The transport of one process, which keeps sent messages until a test moves
/// them, and can lose them by message, by connection or altogether.
class TransportFake final : public ITransport {
public:
  void onReceive(Receiver Hook) override { m_ReceiveHook = std::move(Hook); }

  ChannelId open(const std::string &) override {
    m_IsChannelStalled[++m_LastChannel] = m_IsInterrupted;
    return m_LastChannel;
  }

  void send(ChannelId Channel, Envelope Outgoing) override {
    bool IsLost = m_IsChannelStalled[Channel] ||
                  (m_IsMessageLost && m_IsMessageLost(Outgoing));
    if (!IsLost)
      m_InFlight.push_back(std::move(Outgoing));
  }

  void reconnect(ChannelId Channel) override {
    ++m_ReconnectCount;
    if (!m_IsInterrupted)
      m_IsChannelStalled[Channel] = false;
  }

  void close(ChannelId Channel) override { m_IsChannelStalled.erase(Channel); }

  /// Loses everything on the open connections; new connections work.
  void stallConnections() {
    for (auto &Channel : m_IsChannelStalled)
      Channel.second = true;
  }

  /// Loses everything on all connections, also new ones, until restored.
  void setInterrupted(bool IsInterrupted) {
    m_IsInterrupted = IsInterrupted;
    for (auto &Channel : m_IsChannelStalled)
      Channel.second = IsInterrupted;
  }

  Receiver m_ReceiveHook;
  std::vector<Envelope> m_InFlight;
  std::function<bool(const Envelope &)> m_IsMessageLost;
  int m_ReconnectCount = 0;

private:
  std::map<ChannelId, bool> m_IsChannelStalled;
  ChannelId m_LastChannel = 0;
  bool m_IsInterrupted = false;
};

/// A process at one end of a link, with what its hooks received.
struct TestProcess {
  explicit TestProcess(const std::string &Name, std::uint64_t Number,
                       Role ProcessRole, ManualTimerService &Timers,
                       LinkSettings Settings = {})
      : m_Self{Name, Incarnation{Number}, "127.0.0.1:" + std::to_string(Number),
               "domain", ProcessRole},
        m_Links(m_Self, Settings, m_Charts, m_Transport, Timers, m_Metrics) {
    m_Links.setHooks({[this](const Peer &) { ++m_UpCount; },
                      [this](Incarnation From, Message &Body) {
                        m_ConfirmedAtReceipt.push_back(
                            m_Links.confirmedAliveAt(From));
                        if (auto *DemandBody = std::get_if<Demand>(&Body))
                          m_Received.push_back(DemandBody->m_Waiting);
                      },
                      [this](const Peer &) { ++m_DownCount; },
                      [this](const std::string &) { ++m_UnreachableCount; },
                      [this] { return m_CallersAliveAt; },
                      [this](Incarnation) { return m_ActsForEntries; }});
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  MetricsFake m_Metrics;
  TransportFake m_Transport;
  ProcessIdentity m_Self;
  Links m_Links;
  /// The m_Waiting of each Demand, by which the tests number messages.
  std::vector<std::uint32_t> m_Received;
  /// ILinks::confirmedAliveAt() of the sender as each message was received.
  std::vector<TimePoint> m_ConfirmedAtReceipt;
  bool m_ActsForEntries = true;
  /// What the links pass on to agents.
  TimePoint m_CallersAliveAt = TimePoint::max();
  int m_UpCount = 0;
  int m_DownCount = 0;
  int m_UnreachableCount = 0;
};

/// An agent and an entry that are connected by fake transports.
struct LinkPair {
  explicit LinkPair(LinkSettings Settings = {})
      : m_Agent("agent-1", 11, Role::Agent, m_Timers, Settings),
        m_Entry("entry-1", 22, Role::Entry, m_Timers, Settings) {}

  /// Delivers messages until none is in flight.
  void deliver() {
    while (!m_Agent.m_Transport.m_InFlight.empty() ||
           !m_Entry.m_Transport.m_InFlight.empty()) {
      moveMessages(m_Agent.m_Transport, m_Entry);
      moveMessages(m_Entry.m_Transport, m_Agent);
    }
  }

  void advance(Duration Span) {
    constexpr Duration Step = milliseconds(50);
    for (Duration Left = Span; Left > Duration::zero(); Left -= Step) {
      m_Timers.advance(Step);
      deliver();
    }
  }

  void connect() {
    m_Agent.m_Links.connect(m_Entry.m_Self.m_Address);
    deliver();
  }

  void sendFromAgent(std::uint32_t Number) {
    m_Agent.m_Links.send(m_Entry.m_Self.m_Incarnation, Demand{Number, {}});
  }

  void sendFromEntry(std::uint32_t Number) {
    m_Entry.m_Links.send(m_Agent.m_Self.m_Incarnation, Demand{Number, {}});
  }

  /// When the agent has confirmation that the entry was alive.
  TimePoint entryConfirmedAt() const {
    return m_Agent.m_Links.confirmedAliveAt(m_Entry.m_Self.m_Incarnation);
  }

  static void moveMessages(TransportFake &From, TestProcess &To) {
    std::vector<Envelope> Envelopes;
    Envelopes.swap(From.m_InFlight);
    for (Envelope &Incoming : Envelopes)
      To.m_Transport.m_ReceiveHook(std::move(Incoming));
  }

  ManualTimerService m_Timers;
  TestProcess m_Agent;
  TestProcess m_Entry;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKPAIR_H
