#ifndef CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKPAIR_H
#define CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKPAIR_H

#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsmock.h"
#include "membership/internal/links.h"
#include "statechart/chartfolder.h"

#include <functional>
#include <map>
#include <vector>

namespace cyclamenwalk {

/// A transport between two ends in one test, which can lose, repeat, hold
/// back and silence what it carries.
class WireFake final : public ITransport {
public:
  void onReceive(Receiver Hook) override { m_Receiver = std::move(Hook); }

  ChannelId open(const std::string &) override {
    m_Silenced[++m_LastChannel] = m_IsCut;
    return m_LastChannel;
  }

  void send(ChannelId Channel, Envelope Value) override {
    bool IsLost = m_Silenced[Channel] || (m_Loses && m_Loses(Value));
    if (!IsLost)
      m_InFlight.push_back(std::move(Value));
  }

  void redial(ChannelId Channel) override {
    ++m_Redials;
    if (!m_IsCut)
      m_Silenced[Channel] = false;
  }

  void close(ChannelId Channel) override { m_Silenced.erase(Channel); }

  /// The open connections go silent for good; new ones work.
  void silence() {
    for (auto &Channel : m_Silenced)
      Channel.second = true;
  }

  /// Nothing passes until restored, new connections neither.
  void setCut(bool IsCut) {
    m_IsCut = IsCut;
    for (auto &Channel : m_Silenced)
      Channel.second = IsCut;
  }

  Receiver m_Receiver;
  std::vector<Envelope> m_InFlight;
  std::function<bool(const Envelope &)> m_Loses;
  int m_Redials = 0;

private:
  std::map<ChannelId, bool> m_Silenced;
  ChannelId m_LastChannel = 0;
  bool m_IsCut = false;
};

/// Everything that one end of a link pair saw.
struct LinkEnd {
  explicit LinkEnd(const std::string &Name, std::uint64_t Number, Role Kind,
                   ManualTimerService &Timers)
      : m_Self{Name, Incarnation{Number}, "127.0.0.1:" + std::to_string(Number),
               "domain", Kind},
        m_Links(m_Self, LinkSettings{}, m_Charts, m_Wire, Timers, m_Metrics) {
    m_Links.setHooks({[this](const Peer &) { ++m_Ups; },
                      [this](Incarnation, Message &Body) {
                        if (auto *Known = std::get_if<Demand>(&Body))
                          m_Received.push_back(Known->m_Waiting);
                      },
                      [this](const Peer &) { ++m_Downs; },
                      [this](const std::string &) { ++m_Unreachable; }});
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  MetricsFake m_Metrics;
  WireFake m_Wire;
  ProcessIdentity m_Self;
  Links m_Links;
  std::vector<std::uint32_t> m_Received;
  int m_Ups = 0;
  int m_Downs = 0;
  int m_Unreachable = 0;
};

/// An agent and an entry joined by fake wires.
struct LinkPair {
  /// Delivers what is in flight until nothing is.
  void deliver() {
    while (!m_Agent.m_Wire.m_InFlight.empty() ||
           !m_Entry.m_Wire.m_InFlight.empty()) {
      move(m_Agent.m_Wire, m_Entry);
      move(m_Entry.m_Wire, m_Agent);
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

  static void move(WireFake &From, LinkEnd &To) {
    std::vector<Envelope> Batch;
    Batch.swap(From.m_InFlight);
    for (Envelope &Value : Batch)
      To.m_Wire.m_Receiver(std::move(Value));
  }

  ManualTimerService m_Timers;
  LinkEnd m_Agent{"agent-1", 11, Role::Agent, m_Timers};
  LinkEnd m_Entry{"entry-1", 22, Role::Entry, m_Timers};
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKPAIR_H
