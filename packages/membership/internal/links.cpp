#include "membership/internal/links.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

Links::Links(ProcessIdentity Identity, LinkSettings Settings,
             const IChartSource &Charts, ITransport &Transport,
             ITimerService &Timers, IMetrics &Metrics)
    : m_Self(std::move(Identity)), m_Settings(Settings), m_Transport(Transport),
      m_Timers(Timers), m_Metrics(Metrics), m_Chart(bindChart(Charts)),
      // Links of an earlier incarnation must not share numbers with ours.
      m_NextNumber(static_cast<std::uint32_t>(m_Self.m_Incarnation.m_Value)) {
  m_Transport.onReceive([this](Envelope Value) { receive(std::move(Value)); });
}

Links::~Links() {
  m_Transport.onReceive(nullptr);
  for (auto &Known : m_ByNumber)
    m_Timers.cancel(Known.second->m_Timer);
}

LinkChart Links::bindChart(const IChartSource &Charts) {
  return LinkChart(
      Charts.chart("link"),
      {{"isLapsed", [this](const Link &L) { return isLapsed(L); }},
       {"isQuiet", [this](const Link &L) { return isQuiet(L); }},
       {"isRedialDue", [this](const Link &L) { return isRedialDue(L); }},
       {"isGreetingDue",
        [this](const Link &L) {
          return m_Timers.now() - L.m_DialledAt >=
                 m_Settings.m_HelloRetryPeriod;
        }},
       {"owesWord", [this](const Link &L) { return owesWord(L); }}},
      {{"sendHello", [this](Link &L) { sendHello(L, false); }},
       {"greetAnew", [this](Link &L) { greetAnew(L); }},
       {"repeatReply",
        [this](Link &L) {
          if (L.m_ConnectAddress.empty())
            sendHello(L, true);
        }},
       {"sendHeartbeat", [this](Link &L) { sendHeartbeat(L, false); }},
       {"redial", [this](Link &L) { redial(L); }},
       {"announceUp", [this](Link &L) { m_Hooks.m_Up(L.m_Peer); }},
       {"announceDown", [this](Link &L) { m_Hooks.m_Down(L.m_Peer); }},
       {"announceUnreachable",
        [this](Link &L) { m_Hooks.m_Unreachable(L.m_ConnectAddress); }}});
}

void Links::setHooks(Hooks Calls) { m_Hooks = std::move(Calls); }

void Links::connect(const std::string &Address) {
  for (const auto &Known : m_ByNumber)
    if (Known.second->m_ConnectAddress == Address)
      return;
  LinkPointer Opened = makeLink(Address);
  Opened->m_ConnectAddress = Address;
  Opened->m_Number = m_NextNumber++;
  m_ByNumber.emplace(Opened->m_Number, Opened);
  sendHello(*Opened, false);
}

void Links::send(Incarnation To, Message Body) {
  auto Found = m_ByPeer.find(To);
  if (Found == m_ByPeer.end())
    return;
  Link &Known = *Found->second;
  Envelope Value = makeEnvelope(Known, std::move(Body));
  Value.m_Sequence = ++Known.m_LastSent;
  if (Known.m_Unacknowledged.empty())
    Known.m_OldestSentAt = m_Timers.now();
  Known.m_Unacknowledged.push_back(Value);
  transmit(Known, std::move(Value));
}

void Links::disconnect(Incarnation To) {
  auto Found = m_ByPeer.find(To);
  if (Found == m_ByPeer.end())
    return;
  LinkPointer Known = Found->second;
  transmit(*Known, makeEnvelope(*Known, Goodbye{}));
  fire(Known, LinkEvent::Close);
}

bool Links::isFlushed() const {
  return std::all_of(m_ByPeer.begin(), m_ByPeer.end(), [](const auto &Known) {
    return Known.second->m_Unacknowledged.empty();
  });
}

void Links::receive(Envelope Value) {
  bool IsForEarlierRun = Value.m_Receiver != Incarnation{} &&
                         Value.m_Receiver != m_Self.m_Incarnation;
  if (IsForEarlierRun)
    return;
  if (const auto *Body = std::get_if<Hello>(&Value.m_Message)) {
    receiveHello(Value, *Body);
    return;
  }
  LinkPointer Known = findLink(Value);
  if (Known)
    receiveOnLink(Known, Value);
}

void Links::receiveHello(const Envelope &Value, const Hello &Body) {
  if (Body.m_IsReply)
    completeHello(Value, Body);
  else
    acceptHello(Value, Body);
}

/// An agent opens a link to us.
void Links::acceptHello(const Envelope &Value, const Hello &Body) {
  LinkPointer Known = findLink(Value);
  if (!Known) {
    if (isSuperseded(Value))
      return;
    Peer Newer{Body.m_Name, Value.m_Sender, Body.m_Address,
               Body.m_FailureDomain, Body.m_Role};
    dropOlderLinks(Newer);
    if (m_ByNumber.count(Value.m_Link))
      return;
    Known = makeLink(Body.m_Address);
    Known->m_Number = Value.m_Link;
    Known->m_Peer = Newer;
    m_ByNumber.emplace(Known->m_Number, Known);
    m_ByPeer.emplace(Value.m_Sender, Known);
    sendHello(*Known, true);
  }
  Known->m_HeardAt = m_Timers.now();
  fire(Known, LinkEvent::Hello);
}

/// Whether a Hello that was delayed names an older link than the live one.
bool Links::isSuperseded(const Envelope &Value) const {
  auto Found = m_ByPeer.find(Value.m_Sender);
  if (Found == m_ByPeer.end())
    return false;
  auto Ahead =
      static_cast<std::int32_t>(Value.m_Link - Found->second->m_Number);
  return Ahead < 0;
}

/// The entry that we connected to has replied.
void Links::completeHello(const Envelope &Value, const Hello &Body) {
  auto Found = m_ByNumber.find(Value.m_Link);
  if (Found == m_ByNumber.end() || Found->second->m_ConnectAddress.empty())
    return;
  LinkPointer Known = Found->second;
  if (Known->m_State == LinkState::Greeting) {
    Peer Newer{Body.m_Name, Value.m_Sender, Body.m_Address,
               Body.m_FailureDomain, Body.m_Role};
    dropOlderLinks(Newer);
    Known->m_Peer = Newer;
    m_ByPeer.emplace(Value.m_Sender, Known);
  }
  Known->m_HeardAt = m_Timers.now();
  fire(Known, LinkEvent::Hello);
}

/// A process has one live incarnation and one link to us at a time.
void Links::dropOlderLinks(const Peer &Newer) {
  std::vector<LinkPointer> Older;
  for (const auto &Known : m_ByPeer) {
    const Peer &Other = Known.second->m_Peer;
    if (Other.m_Incarnation == Newer.m_Incarnation ||
        (Other.m_Name == Newer.m_Name && Other.m_Role == Newer.m_Role))
      Older.push_back(Known.second);
  }
  for (const LinkPointer &Known : Older)
    fire(Known, LinkEvent::Close);
}

Links::LinkPointer Links::findLink(const Envelope &Value) const {
  auto Found = m_ByPeer.find(Value.m_Sender);
  if (Found == m_ByPeer.end() || Found->second->m_Number != Value.m_Link)
    return nullptr;
  return Found->second;
}

Links::LinkPointer Links::makeLink(const std::string &Address) {
  auto Made = std::make_shared<Link>();
  TimePoint Now = m_Timers.now();
  Made->m_State = m_Chart.initial();
  Made->m_Channel = m_Transport.open(Address);
  Made->m_HeardAt = Made->m_SentAt = Made->m_DialledAt = Now;
  Link *Raw = Made.get();
  Made->m_Timer = m_Timers.subscribeEvery(
      m_Settings.m_CheckPeriod, [this, Raw] { check(Raw->m_Number); });
  return Made;
}

void Links::check(std::uint32_t Number) {
  auto Found = m_ByNumber.find(Number);
  if (Found != m_ByNumber.end())
    fire(LinkPointer(Found->second), LinkEvent::Check);
}

void Links::fire(const LinkPointer &Known, LinkEvent What) {
  m_Chart.fire(*Known, What);
  if (Known->m_State == LinkState::Down)
    forget(*Known);
}

void Links::forget(Link &Gone) {
  m_Timers.cancel(Gone.m_Timer);
  m_Transport.close(Gone.m_Channel);
  auto ByPeer = m_ByPeer.find(Gone.m_Peer.m_Incarnation);
  if (ByPeer != m_ByPeer.end() && ByPeer->second.get() == &Gone)
    m_ByPeer.erase(ByPeer);
  // Erased last: the map may hold the last reference.
  auto ByNumber = m_ByNumber.find(Gone.m_Number);
  if (ByNumber != m_ByNumber.end() && ByNumber->second.get() == &Gone)
    m_ByNumber.erase(ByNumber);
}

void Links::receiveOnLink(const LinkPointer &Known, Envelope &Value) {
  Known->m_HeardAt = m_Timers.now();
  acknowledge(*Known, Value.m_Acknowledged);
  if (Known->m_State == LinkState::Silent && !isQuiet(*Known))
    fire(Known, LinkEvent::Progress);
  if (const auto *Beat = std::get_if<Heartbeat>(&Value.m_Message)) {
    receiveHeartbeat(*Known, *Beat);
    return;
  }
  if (std::holds_alternative<Goodbye>(Value.m_Message)) {
    fire(Known, LinkEvent::Close);
    return;
  }
  receiveSequenced(Known, Value);
}

void Links::receiveHeartbeat(Link &Known, const Heartbeat &Beat) {
  bool MayRedial =
      m_Timers.now() - Known.m_DialledAt >= m_Settings.m_RedialAfter;
  if (Beat.m_IsNotReceiving && MayRedial)
    redial(Known);
  else if (Beat.m_WantsResend)
    resend(Known);
}

void Links::acknowledge(Link &Known, std::uint64_t UpTo) {
  auto &Waiting = Known.m_Unacknowledged;
  bool Any = false;
  while (!Waiting.empty() && Waiting.front().m_Sequence <= UpTo) {
    Waiting.pop_front();
    Any = true;
  }
  if (Any)
    Known.m_OldestSentAt = m_Timers.now();
}

void Links::receiveSequenced(const LinkPointer &Known, Envelope &Value) {
  if (!Known->m_OwesAcknowledgement)
    Known->m_ReceivedAt = m_Timers.now();
  Known->m_OwesAcknowledgement = true;
  if (Value.m_Sequence <= Known->m_LastReceived) {
    m_Metrics.count(Metric::MessagesDuplicate);
    return;
  }
  if (Value.m_Sequence > Known->m_LastReceived + 1) {
    if (!Known->m_AskedForResend)
      transmit(*Known, makeEnvelope(*Known, Heartbeat{true, false}));
    Known->m_AskedForResend = true;
    return;
  }
  Known->m_AskedForResend = false;
  Known->m_LastReceived = Value.m_Sequence;
  m_Hooks.m_Message(Known->m_Peer.m_Incarnation, Value.m_Message);
}

Envelope Links::makeEnvelope(const Link &Known, Message Body) const {
  Envelope Value;
  Value.m_Sender = m_Self.m_Incarnation;
  Value.m_Receiver = Known.m_Peer.m_Incarnation;
  Value.m_Link = Known.m_Number;
  Value.m_Message = std::move(Body);
  return Value;
}

void Links::transmit(Link &Known, Envelope Value) {
  Value.m_Acknowledged = Known.m_LastReceived;
  Known.m_OwesAcknowledgement = false;
  Known.m_SentAt = m_Timers.now();
  m_Transport.send(Known.m_Channel, std::move(Value));
}

void Links::sendHello(Link &Known, bool IsReply) {
  Hello Body{m_Self.m_Name, m_Self.m_Address, m_Self.m_FailureDomain,
             m_Self.m_Role, IsReply};
  transmit(Known, makeEnvelope(Known, std::move(Body)));
}

/// A connection that is not made yet may wait for long before it is tried
/// again.
void Links::greetAnew(Link &Known) {
  Known.m_DialledAt = m_Timers.now();
  m_Transport.redial(Known.m_Channel);
  sendHello(Known, false);
}

void Links::sendHeartbeat(Link &Known, bool HearsNothing) {
  m_Metrics.count(Metric::HeartbeatsSent);
  transmit(Known, makeEnvelope(Known, Heartbeat{HearsNothing, HearsNothing}));
}

void Links::redial(Link &Known) {
  logEvent(LogLevel::Info, "link.redial",
           {{"peer", Known.m_Peer.m_Name},
            {"unacknowledged", Known.m_Unacknowledged.size()}});
  Known.m_DialledAt = m_Timers.now();
  Known.m_AskedForResend = false;
  m_Transport.redial(Known.m_Channel);
  resend(Known);
  bool HearsNothing =
      m_Timers.now() - Known.m_HeardAt >= m_Settings.m_RedialAfter;
  sendHeartbeat(Known, HearsNothing);
}

void Links::resend(Link &Known) {
  m_Metrics.count(Metric::MessagesResent, Known.m_Unacknowledged.size());
  Known.m_OldestSentAt = m_Timers.now();
  for (const Envelope &Value : Known.m_Unacknowledged)
    transmit(Known, Value);
}

bool Links::isLapsed(const Link &Known) const {
  return m_Timers.now() - Known.m_HeardAt >= m_Settings.m_Lease ||
         Known.m_Unacknowledged.size() > m_Settings.m_MaxUnacknowledged;
}

bool Links::isQuiet(const Link &Known) const {
  TimePoint Now = m_Timers.now();
  bool AwaitsAcknowledgement =
      !Known.m_Unacknowledged.empty() &&
      Now - Known.m_OldestSentAt >= m_Settings.m_RedialAfter;
  return AwaitsAcknowledgement ||
         Now - Known.m_HeardAt >= m_Settings.m_RedialAfter;
}

bool Links::isRedialDue(const Link &Known) const {
  return isQuiet(Known) &&
         m_Timers.now() - Known.m_DialledAt >= m_Settings.m_RedialAfter;
}

bool Links::owesWord(const Link &Known) const {
  TimePoint Now = m_Timers.now();
  bool OwesAcknowledgement =
      Known.m_OwesAcknowledgement &&
      Now - Known.m_ReceivedAt >= m_Settings.m_AcknowledgeWithin;
  return OwesAcknowledgement ||
         Now - Known.m_SentAt >= m_Settings.m_HeartbeatPeriod;
}

} // namespace cyclamenwalk
