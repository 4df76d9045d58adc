#ifndef CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINKS_H
#define CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINKS_H

#include "core/imetrics.h"
#include "membership/ilinks.h"
#include "membership/internal/link.h"
#include "statechart/ichartsource.h"

#include <memory>
#include <unordered_map>

namespace cyclamenwalk {

/// Implements reliable links over a transport that may lose, duplicate and
/// reorder messages.
class Links final : public ILinks {
public:
  Links(ProcessIdentity Identity, LinkSettings Settings,
        const IChartSource &Charts, ITransport &Transport,
        ITimerService &Timers, IMetrics &Metrics);
  ~Links() override;

  void setHooks(Hooks NewHooks) override;
  void connect(const std::string &Address) override;
  void send(Incarnation To, Message Body) override;
  void disconnect(Incarnation To) override;
  TimePoint confirmedAliveAt(Incarnation Peer) const override;
  TimePoint callersAliveAt(Incarnation Peer) const override;
  bool isFlushed() const override;

private:
  using LinkPointer = std::shared_ptr<LinkEndpoint>;

  LinkChart bindChart(const IChartSource &Charts);

  void recordActivity();
  /// Returns whether the message belongs to a link.
  bool receive(Envelope Incoming);
  void receiveHello(const Envelope &Incoming, const Hello &Body);
  void acceptHello(const Envelope &Incoming, const Hello &Body);
  void completeHello(const Envelope &Incoming, const Hello &Body);
  void receiveOnLink(const LinkPointer &Link, Envelope &Incoming);
  void receiveHeartbeat(LinkEndpoint &Link, const Envelope &Incoming,
                        const Heartbeat &Body);
  void recordSendTime(LinkEndpoint &Link, const Envelope &Incoming) const;
  void recordConfirmation(LinkEndpoint &Link, const Envelope &Incoming) const;
  void requestResend(LinkEndpoint &Link);
  bool isSuperseded(const Envelope &Incoming) const;
  void removeAcknowledged(LinkEndpoint &Link, std::uint64_t LastAcknowledged);
  void receiveSequenced(const LinkPointer &Link, Envelope &Incoming);

  LinkPointer findLink(const Envelope &Incoming) const;
  LinkPointer makeLink(const std::string &Address);
  void closeOlderLinks(const Peer &NewPeer);
  void fire(const LinkPointer &Link, LinkEvent Event);
  void check(std::uint32_t Number);
  void removeLink(LinkEndpoint &Link);

  Duration clockReading() const;
  Duration callersSilence(const LinkEndpoint &Link) const;
  Envelope makeEnvelope(const LinkEndpoint &Link, Message Body) const;
  void transmit(LinkEndpoint &Link, Envelope Outgoing);
  void sendHello(LinkEndpoint &Link, bool IsReply);
  void restartHandshake(LinkEndpoint &Link);
  void sendHeartbeat(LinkEndpoint &Link, Heartbeat Body);
  void reconnect(LinkEndpoint &Link);
  void resend(LinkEndpoint &Link);

  /// Whether the lease has expired or too many messages are unacknowledged.
  bool hasExpired(const LinkEndpoint &Link) const;
  bool needsConfirmation(const LinkEndpoint &Link) const;
  /// Whether the peer is no longer confirmed alive but needs to be.
  bool isUnconfirmed(const LinkEndpoint &Link) const;
  bool isStalled(const LinkEndpoint &Link) const;
  bool isReconnectDue(const LinkEndpoint &Link) const;
  bool isHeartbeatDue(const LinkEndpoint &Link) const;
  bool isConfirmationDue(const LinkEndpoint &Link) const;

  const ProcessIdentity m_Self;
  const LinkSettings m_Settings;
  ITransport &m_Transport;
  ITimerService &m_Timers;
  /// Readings of this process's clock in envelopes are relative to this.
  const TimePoint m_ClockStart;
  IMetrics &m_Metrics;
  const LinkChart m_Chart;
  Hooks m_Hooks;
  std::unordered_map<std::uint32_t, LinkPointer> m_ByNumber;
  std::unordered_map<Incarnation, LinkPointer> m_ByPeer;
  std::uint32_t m_NextNumber;
  /// When a message was received or a link was checked last.
  TimePoint m_LastActiveAt;
  /// Until then this process doesn't confirm to its peers that it is alive.
  TimePoint m_EchoesFrom;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_INTERNAL_LINKS_H
