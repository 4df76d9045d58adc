#include "membership/internal/links.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Of readings of the clock in envelopes. The first reading is one step, since
/// zero stands for none.
constexpr Duration ClockStep = milliseconds(1);

/// A longer gap, in check periods, between two events of the links means that
/// this process was paused.
constexpr int MaxActivityGap = 3;

/// The part of a check period in which a process handles what happened during
/// its pause.
constexpr double CatchUpShare = 0.5;

} // namespace

Links::Links(ProcessIdentity Identity, LinkSettings Settings,
             const IChartSource &Charts, ITransport &Transport,
             ITimerService &Timers, IMetrics &Metrics)
    : m_Self(std::move(Identity)), m_Settings(Settings), m_Transport(Transport),
      m_Timers(Timers), m_ClockStart(Timers.now() - ClockStep),
      m_Metrics(Metrics), m_Chart(bindChart(Charts)),
      // Starts from the incarnation, so that the links of an earlier one have
      // other numbers.
      m_NextNumber(static_cast<std::uint32_t>(m_Self.m_Incarnation.m_Value)) {
  m_Transport.onReceive(
      [this](Envelope Incoming) { return receive(std::move(Incoming)); });
}

Links::~Links() {
  m_Transport.onReceive(nullptr);
  for (auto &NumberedLink : m_ByNumber)
    m_Timers.cancel(NumberedLink.second->m_Timer);
}

LinkChart Links::bindChart(const IChartSource &Charts) {
  return LinkChart(
      Charts.chart("link"),
      {{"hasFailed",
        [this](const LinkEndpoint &Link) {
          return hasExpired(Link) || isUnconfirmed(Link);
        }},
       {"isStalled",
        [this](const LinkEndpoint &Link) { return isStalled(Link); }},
       {"isReconnectDue",
        [this](const LinkEndpoint &Link) { return isReconnectDue(Link); }},
       {"isHelloRetryDue",
        [this](const LinkEndpoint &Link) {
          return m_Timers.now() - Link.m_LastConnectAt >=
                 m_Settings.m_HelloRetryPeriod;
        }},
       {"isHeartbeatDue",
        [this](const LinkEndpoint &Link) { return isHeartbeatDue(Link); }}},
      {{"sendHello", [this](LinkEndpoint &Link) { sendHello(Link, false); }},
       {"restartHandshake",
        [this](LinkEndpoint &Link) { restartHandshake(Link); }},
       {"resendHelloReply",
        [this](LinkEndpoint &Link) {
          if (Link.m_ConnectAddress.empty())
            sendHello(Link, true);
        }},
       {"sendHeartbeat",
        [this](LinkEndpoint &Link) {
          Heartbeat Body;
          Body.m_RequestsReply = isConfirmationDue(Link);
          sendHeartbeat(Link, Body);
        }},
       {"reconnect", [this](LinkEndpoint &Link) { reconnect(Link); }},
       {"notifyUp",
        [this](LinkEndpoint &Link) { m_Hooks.m_OnLinkUp(Link.m_Peer); }},
       {"notifyDown",
        [this](LinkEndpoint &Link) { m_Hooks.m_OnLinkDown(Link.m_Peer); }},
       {"notifyUnreachable", [this](LinkEndpoint &Link) {
          m_Hooks.m_OnUnreachable(Link.m_ConnectAddress);
        }}});
}

void Links::setHooks(Hooks NewHooks) { m_Hooks = std::move(NewHooks); }

void Links::connect(const std::string &Address) {
  for (const auto &NumberedLink : m_ByNumber)
    if (NumberedLink.second->m_ConnectAddress == Address)
      return;
  LinkPointer Link = makeLink(Address);
  Link->m_ConnectAddress = Address;
  Link->m_Number = m_NextNumber++;
  m_ByNumber.emplace(Link->m_Number, Link);
  sendHello(*Link, false);
}

void Links::send(Incarnation To, Message Body) {
  auto It = m_ByPeer.find(To);
  if (It == m_ByPeer.end())
    return;
  LinkEndpoint &Link = *It->second;
  Envelope Outgoing = makeEnvelope(Link, std::move(Body));
  Outgoing.m_Sequence = ++Link.m_LastSentSequence;
  if (Link.m_Unacknowledged.empty())
    Link.m_OldestSentAt = m_Timers.now();
  Link.m_Unacknowledged.push_back(Outgoing);
  transmit(Link, std::move(Outgoing));
}

void Links::disconnect(Incarnation To) {
  auto It = m_ByPeer.find(To);
  if (It == m_ByPeer.end())
    return;
  LinkPointer Link = It->second;
  transmit(*Link, makeEnvelope(*Link, Goodbye{}));
  fire(Link, LinkEvent::Close);
}

TimePoint Links::confirmedAliveAt(Incarnation Peer) const {
  auto It = m_ByPeer.find(Peer);
  return It == m_ByPeer.end() ? TimePoint{} : It->second->m_ConfirmedAliveAt;
}

TimePoint Links::callersAliveAt(Incarnation Peer) const {
  auto It = m_ByPeer.find(Peer);
  return It == m_ByPeer.end() ? TimePoint{} : It->second->m_CallersAliveAt;
}

bool Links::isFlushed() const {
  return std::all_of(m_ByPeer.begin(), m_ByPeer.end(),
                     [](const auto &PeerLink) {
                       return PeerLink.second->m_Unacknowledged.empty();
                     });
}

/// After a pause, a process may receive the messages of agents before it learns
/// that a caller's connection broke meanwhile. It echoes nothing until it has
/// had time for both, since an echo says that its earlier decisions were sent.
void Links::recordActivity() {
  TimePoint Now = m_Timers.now();
  Duration Gap = Now - m_LastActiveAt;
  bool WasPaused =
      !m_ByNumber.empty() && Gap > MaxActivityGap * m_Settings.m_CheckPeriod;
  m_LastActiveAt = Now;
  if (!WasPaused)
    return;
  m_EchoesFrom = Now + scaled(m_Settings.m_CheckPeriod, CatchUpShare);
  logEvent(LogLevel::Warning, "process.was_paused",
           {{"gap_ms", toMilliseconds(Gap)}});
}

bool Links::receive(Envelope Incoming) {
  recordActivity();
  bool IsForOtherIncarnation = Incoming.m_Receiver != Incarnation{} &&
                               Incoming.m_Receiver != m_Self.m_Incarnation;
  if (IsForOtherIncarnation)
    return false;
  if (const auto *Body = std::get_if<Hello>(&Incoming.m_Message))
    receiveHello(Incoming, *Body);
  // A Hello that was accepted has a link now.
  LinkPointer Link = findLink(Incoming);
  if (!Link)
    return false;
  if (!std::holds_alternative<Hello>(Incoming.m_Message))
    receiveOnLink(Link, Incoming);
  return true;
}

void Links::receiveHello(const Envelope &Incoming, const Hello &Body) {
  if (Body.m_IsReply)
    completeHello(Incoming, Body);
  else
    acceptHello(Incoming, Body);
}

/// Handles the Hello of an agent that opens a link to this process.
void Links::acceptHello(const Envelope &Incoming, const Hello &Body) {
  LinkPointer Link = findLink(Incoming);
  if (!Link) {
    if (isSuperseded(Incoming))
      return;
    Peer NewPeer{Body.m_Name,    Incoming.m_Sender,
                 Body.m_Address, Body.m_FailureDomain,
                 Body.m_Role,    Body.m_ProcessorMilliCores};
    closeOlderLinks(NewPeer);
    if (m_ByNumber.count(Incoming.m_Link))
      return;
    Link = makeLink(Body.m_Address);
    Link->m_Number = Incoming.m_Link;
    Link->m_Peer = NewPeer;
    m_ByNumber.emplace(Link->m_Number, Link);
    m_ByPeer.emplace(Incoming.m_Sender, Link);
    recordSendTime(*Link, Incoming);
    sendHello(*Link, true);
  } else {
    recordSendTime(*Link, Incoming);
  }
  Link->m_LastHeardAt = m_Timers.now();
  fire(Link, LinkEvent::Hello);
}

/// Whether a delayed Hello belongs to an older link than the current one.
bool Links::isSuperseded(const Envelope &Incoming) const {
  auto It = m_ByPeer.find(Incoming.m_Sender);
  if (It == m_ByPeer.end())
    return false;
  auto Distance =
      static_cast<std::int32_t>(Incoming.m_Link - It->second->m_Number);
  return Distance < 0;
}

/// Handles the reply of the entry that this process connected to.
void Links::completeHello(const Envelope &Incoming, const Hello &Body) {
  auto It = m_ByNumber.find(Incoming.m_Link);
  if (It == m_ByNumber.end() || It->second->m_ConnectAddress.empty())
    return;
  LinkPointer Link = It->second;
  if (Link->m_State == LinkState::Connecting) {
    Peer NewPeer{Body.m_Name,    Incoming.m_Sender,
                 Body.m_Address, Body.m_FailureDomain,
                 Body.m_Role,    Body.m_ProcessorMilliCores};
    closeOlderLinks(NewPeer);
    Link->m_Peer = NewPeer;
    m_ByPeer.emplace(Incoming.m_Sender, Link);
    recordConfirmation(*Link, Incoming);
  }
  recordSendTime(*Link, Incoming);
  Link->m_LastHeardAt = m_Timers.now();
  fire(Link, LinkEvent::Hello);
}

/// A process has one live incarnation, and one link to this process, at a
/// time.
void Links::closeOlderLinks(const Peer &NewPeer) {
  std::vector<LinkPointer> Older;
  for (const auto &PeerLink : m_ByPeer) {
    const Peer &Other = PeerLink.second->m_Peer;
    if (Other.m_Incarnation == NewPeer.m_Incarnation ||
        (Other.m_Name == NewPeer.m_Name && Other.m_Role == NewPeer.m_Role))
      Older.push_back(PeerLink.second);
  }
  for (const LinkPointer &Link : Older)
    fire(Link, LinkEvent::Close);
}

Links::LinkPointer Links::findLink(const Envelope &Incoming) const {
  auto It = m_ByPeer.find(Incoming.m_Sender);
  if (It == m_ByPeer.end() || It->second->m_Number != Incoming.m_Link)
    return nullptr;
  return It->second;
}

Links::LinkPointer Links::makeLink(const std::string &Address) {
  auto Link = std::make_shared<LinkEndpoint>();
  TimePoint Now = m_Timers.now();
  // Without links there was nothing to do.
  if (m_ByNumber.empty())
    m_LastActiveAt = Now;
  Link->m_State = m_Chart.initial();
  Link->m_Channel = m_Transport.open(Address);
  Link->m_LastHeardAt = Link->m_LastSentAt = Link->m_LastConnectAt = Now;
  Link->m_OpenedAt = Now;
  LinkEndpoint *Raw = Link.get();
  Link->m_Timer = m_Timers.subscribeEvery(
      m_Settings.m_CheckPeriod, [this, Raw] { check(Raw->m_Number); });
  return Link;
}

void Links::check(std::uint32_t Number) {
  recordActivity();
  auto It = m_ByNumber.find(Number);
  if (It != m_ByNumber.end())
    fire(LinkPointer(It->second), LinkEvent::Check);
}

void Links::fire(const LinkPointer &Link, LinkEvent Event) {
  m_Chart.fire(*Link, Event);
  if (Link->m_State == LinkState::Down)
    removeLink(*Link);
}

void Links::removeLink(LinkEndpoint &Link) {
  m_Timers.cancel(Link.m_Timer);
  m_Transport.close(Link.m_Channel);
  auto PeerIt = m_ByPeer.find(Link.m_Peer.m_Incarnation);
  if (PeerIt != m_ByPeer.end() && PeerIt->second.get() == &Link)
    m_ByPeer.erase(PeerIt);
  // Erased last: the map may hold the last reference.
  auto NumberIt = m_ByNumber.find(Link.m_Number);
  if (NumberIt != m_ByNumber.end() && NumberIt->second.get() == &Link)
    m_ByNumber.erase(NumberIt);
}

void Links::receiveOnLink(const LinkPointer &Link, Envelope &Incoming) {
  // After a pause of this process a message may be handled before the check of
  // the link. The peer has given the link up meanwhile.
  if (hasExpired(*Link)) {
    fire(Link, LinkEvent::Check);
    return;
  }
  Link->m_LastHeardAt = m_Timers.now();
  recordSendTime(*Link, Incoming);
  removeAcknowledged(*Link, Incoming.m_Acknowledged);
  if (Link->m_State == LinkState::Stalled && !isStalled(*Link))
    fire(Link, LinkEvent::Progress);
  if (const auto *Body = std::get_if<Heartbeat>(&Incoming.m_Message)) {
    receiveHeartbeat(*Link, Incoming, *Body);
    return;
  }
  if (std::holds_alternative<Goodbye>(Incoming.m_Message)) {
    fire(Link, LinkEvent::Close);
    return;
  }
  receiveSequenced(Link, Incoming);
}

void Links::receiveHeartbeat(LinkEndpoint &Link, const Envelope &Incoming,
                             const Heartbeat &Body) {
  if (Body.m_LastSequence == Link.m_LastReceivedSequence)
    recordConfirmation(Link, Incoming);
  else if (Body.m_LastSequence > Link.m_LastReceivedSequence)
    requestResend(Link);
  bool MayReconnect =
      m_Timers.now() - Link.m_LastConnectAt >= m_Settings.m_StallTimeout;
  if (Body.m_IsNotReceiving && MayReconnect)
    reconnect(Link);
  else if (Body.m_RequestsResend)
    resend(Link);
  if (Body.m_RequestsReply)
    sendHeartbeat(Link, {});
}

void Links::recordSendTime(LinkEndpoint &Link, const Envelope &Incoming) const {
  Link.m_PeerSentAt = std::max(Link.m_PeerSentAt, Incoming.m_SentAt);
}

/// Takes the echo in a message before which none from the peer is missing: what
/// the peer decided before the time of the echo has arrived.
void Links::recordConfirmation(LinkEndpoint &Link,
                               const Envelope &Incoming) const {
  TimePoint AliveAt = m_ClockStart + Incoming.m_Echo;
  bool IsUsable = Incoming.m_Echo != Duration::zero() &&
                  Incoming.m_SentAt >= Link.m_ConfirmationSentAt &&
                  AliveAt <= m_Timers.now();
  if (!IsUsable)
    return;
  Link.m_ConfirmationSentAt = Incoming.m_SentAt;
  Link.m_ConfirmedAliveAt = std::max(Link.m_ConfirmedAliveAt, AliveAt);
  Link.m_CallersAliveAt = AliveAt - Incoming.m_CallersSilence;
}

void Links::requestResend(LinkEndpoint &Link) {
  if (!Link.m_IsResendRequested)
    sendHeartbeat(Link, {.m_RequestsResend = true});
  Link.m_IsResendRequested = true;
}

void Links::removeAcknowledged(LinkEndpoint &Link,
                               std::uint64_t LastAcknowledged) {
  auto &Unacknowledged = Link.m_Unacknowledged;
  bool HasProgress = false;
  while (!Unacknowledged.empty() &&
         Unacknowledged.front().m_Sequence <= LastAcknowledged) {
    Unacknowledged.pop_front();
    HasProgress = true;
  }
  if (HasProgress)
    Link.m_OldestSentAt = m_Timers.now();
}

void Links::receiveSequenced(const LinkPointer &Link, Envelope &Incoming) {
  if (!Link->m_IsAcknowledgementPending)
    Link->m_OldestReceivedAt = m_Timers.now();
  Link->m_IsAcknowledgementPending = true;
  if (Incoming.m_Sequence <= Link->m_LastReceivedSequence) {
    m_Metrics.count(Metric::MessagesDuplicate);
    return;
  }
  if (Incoming.m_Sequence > Link->m_LastReceivedSequence + 1) {
    requestResend(*Link);
    return;
  }
  Link->m_IsResendRequested = false;
  Link->m_LastReceivedSequence = Incoming.m_Sequence;
  recordConfirmation(*Link, Incoming);
  m_Hooks.m_OnMessage(Link->m_Peer.m_Incarnation, Incoming.m_Message);
}

Duration Links::clockReading() const {
  return std::chrono::floor<milliseconds>(m_Timers.now() - m_ClockStart);
}

/// Only agents limit what they do by it.
Duration Links::callersSilence(const LinkEndpoint &Link) const {
  if (Link.m_Peer.m_Role != Role::Agent || !m_Hooks.m_CallersAliveAt)
    return Duration::zero();
  Duration Silence = m_Timers.now() - m_Hooks.m_CallersAliveAt();
  return std::chrono::ceil<milliseconds>(std::max(Silence, Duration::zero()));
}

/// The times are those of the first transmission also when a message is sent
/// again: what it says may be that old.
Envelope Links::makeEnvelope(const LinkEndpoint &Link, Message Body) const {
  Envelope Outgoing;
  Outgoing.m_Sender = m_Self.m_Incarnation;
  Outgoing.m_Receiver = Link.m_Peer.m_Incarnation;
  Outgoing.m_Link = Link.m_Number;
  Outgoing.m_SentAt = clockReading();
  bool HasCaughtUp = m_Timers.now() >= m_EchoesFrom;
  Outgoing.m_Echo = HasCaughtUp ? Link.m_PeerSentAt : Duration::zero();
  Outgoing.m_CallersSilence = callersSilence(Link);
  Outgoing.m_Message = std::move(Body);
  return Outgoing;
}

void Links::transmit(LinkEndpoint &Link, Envelope Outgoing) {
  Outgoing.m_Acknowledged = Link.m_LastReceivedSequence;
  Link.m_IsAcknowledgementPending = false;
  Link.m_LastSentAt = m_Timers.now();
  m_Transport.send(Link.m_Channel, std::move(Outgoing));
}

void Links::sendHello(LinkEndpoint &Link, bool IsReply) {
  Hello Body{m_Self.m_Name,
             m_Self.m_Address,
             m_Self.m_FailureDomain,
             m_Self.m_Role,
             m_Self.m_ProcessorMilliCores,
             IsReply};
  transmit(Link, makeEnvelope(Link, std::move(Body)));
}

/// Opens a new connection, because the transport may wait long before it
/// retries one that failed.
void Links::restartHandshake(LinkEndpoint &Link) {
  Link.m_LastConnectAt = m_Timers.now();
  m_Transport.reconnect(Link.m_Channel);
  sendHello(Link, false);
}

void Links::sendHeartbeat(LinkEndpoint &Link, Heartbeat Body) {
  m_Metrics.count(Metric::HeartbeatsSent);
  Body.m_LastSequence = Link.m_LastSentSequence;
  transmit(Link, makeEnvelope(Link, Body));
}

void Links::reconnect(LinkEndpoint &Link) {
  logEvent(LogLevel::Info, "link.reconnecting",
           {{"peer", Link.m_Peer.m_Name},
            {"unacknowledged", Link.m_Unacknowledged.size()}});
  Link.m_LastConnectAt = m_Timers.now();
  Link.m_IsResendRequested = false;
  m_Transport.reconnect(Link.m_Channel);
  resend(Link);
  bool IsNotReceiving =
      m_Timers.now() - Link.m_LastHeardAt >= m_Settings.m_StallTimeout;
  sendHeartbeat(Link, {.m_RequestsResend = IsNotReceiving,
                       .m_IsNotReceiving = IsNotReceiving});
}

void Links::resend(LinkEndpoint &Link) {
  m_Metrics.count(Metric::MessagesResent, Link.m_Unacknowledged.size());
  Link.m_OldestSentAt = m_Timers.now();
  for (const Envelope &Outgoing : Link.m_Unacknowledged)
    transmit(Link, Outgoing);
}

bool Links::hasExpired(const LinkEndpoint &Link) const {
  return m_Timers.now() - Link.m_LastHeardAt >= m_Settings.m_Lease ||
         Link.m_Unacknowledged.size() > m_Settings.m_MaxUnacknowledged;
}

bool Links::needsConfirmation(const LinkEndpoint &Link) const {
  return Link.m_Peer.m_Role == Role::Entry &&
         (!m_Hooks.m_ActsFor || m_Hooks.m_ActsFor(Link.m_Peer.m_Incarnation));
}

bool Links::isUnconfirmed(const LinkEndpoint &Link) const {
  TimePoint AliveAt = std::max(Link.m_ConfirmedAliveAt, Link.m_OpenedAt);
  return needsConfirmation(Link) &&
         m_Timers.now() - AliveAt >= m_Settings.m_ConfirmationTimeout;
}

bool Links::isStalled(const LinkEndpoint &Link) const {
  TimePoint Now = m_Timers.now();
  bool IsAcknowledgementOverdue =
      !Link.m_Unacknowledged.empty() &&
      Now - Link.m_OldestSentAt >= m_Settings.m_StallTimeout;
  return IsAcknowledgementOverdue ||
         Now - Link.m_LastHeardAt >= m_Settings.m_StallTimeout;
}

bool Links::isReconnectDue(const LinkEndpoint &Link) const {
  return isStalled(Link) &&
         m_Timers.now() - Link.m_LastConnectAt >= m_Settings.m_StallTimeout;
}

bool Links::isHeartbeatDue(const LinkEndpoint &Link) const {
  TimePoint Now = m_Timers.now();
  bool IsAcknowledgementDue =
      Link.m_IsAcknowledgementPending &&
      Now - Link.m_OldestReceivedAt >= m_Settings.m_MaxAcknowledgementDelay;
  return IsAcknowledgementDue ||
         Now - Link.m_LastSentAt >= m_Settings.m_HeartbeatPeriod ||
         isConfirmationDue(Link);
}

/// What an entry passes on about its callers is older than its own
/// confirmation, by about as much as that may be old.
bool Links::isConfirmationDue(const LinkEndpoint &Link) const {
  if (!needsConfirmation(Link))
    return false;
  Duration MaxCallersAge =
      2 * m_Settings.m_MaxConfirmationAge + m_Settings.m_CheckPeriod;
  TimePoint Now = m_Timers.now();
  return Now - Link.m_ConfirmedAliveAt >= m_Settings.m_MaxConfirmationAge ||
         Now - Link.m_CallersAliveAt >= MaxCallersAge;
}

} // namespace cyclamenwalk
