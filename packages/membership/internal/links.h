#ifndef CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINKS_H
#define CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINKS_H

#include "core/imetrics.h"
#include "membership/ilinks.h"
#include "membership/internal/link.h"
#include "statechart/ichartsource.h"

#include <memory>
#include <unordered_map>

namespace cyclamenwalk {

/// Reliable links over a transport that may lose, repeat and reorder.
class Links final : public ILinks {
public:
  Links(ProcessIdentity Identity, LinkSettings Settings,
        const IChartSource &Charts, ITransport &Transport,
        ITimerService &Timers, IMetrics &Metrics);
  ~Links() override;

  void setHooks(Hooks Calls) override;
  void connect(const std::string &Address) override;
  void send(Incarnation To, Message Body) override;
  void disconnect(Incarnation To) override;
  bool isFlushed() const override;

private:
  using LinkPointer = std::shared_ptr<Link>;

  LinkChart bindChart(const IChartSource &Charts);

  void receive(Envelope Value);
  void receiveHello(const Envelope &Value, const Hello &Body);
  void acceptHello(const Envelope &Value, const Hello &Body);
  void completeHello(const Envelope &Value, const Hello &Body);
  void receiveOnLink(const LinkPointer &Known, Envelope &Value);
  void receiveHeartbeat(Link &Known, const Heartbeat &Beat);
  bool isSuperseded(const Envelope &Value) const;
  void acknowledge(Link &Known, std::uint64_t UpTo);
  void receiveSequenced(const LinkPointer &Known, Envelope &Value);

  LinkPointer findLink(const Envelope &Value) const;
  LinkPointer makeLink(const std::string &Address);
  void dropOlderLinks(const Peer &Newer);
  void fire(const LinkPointer &Known, LinkEvent What);
  void check(std::uint32_t Number);
  void forget(Link &Gone);

  Envelope makeEnvelope(const Link &Known, Message Body) const;
  void transmit(Link &Known, Envelope Value);
  void sendHello(Link &Known, bool IsReply);
  void greetAnew(Link &Known);
  void sendHeartbeat(Link &Known, bool HearsNothing);
  void redial(Link &Known);
  void resend(Link &Known);

  bool isLapsed(const Link &Known) const;
  bool isQuiet(const Link &Known) const;
  bool isRedialDue(const Link &Known) const;
  bool owesWord(const Link &Known) const;

  const ProcessIdentity m_Self;
  const LinkSettings m_Settings;
  ITransport &m_Transport;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const LinkChart m_Chart;
  Hooks m_Hooks;
  std::unordered_map<std::uint32_t, LinkPointer> m_ByNumber;
  std::unordered_map<Incarnation, LinkPointer> m_ByPeer;
  std::uint32_t m_NextNumber;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINKS_H
