#include "worker/internal/serverlink.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace cyclamenwalk {

ServerLink::ServerLink(std::string Address, std::string Instance,
                       WorkerSettings Settings,
                       const WorkerDependencies &Dependencies,
                       TimePoint LeaseEndsAt, Hooks Callbacks)
    : m_Address(std::move(Address)), m_Instance(std::move(Instance)),
      m_Settings(Settings), m_Control(Dependencies.m_Control),
      m_Timers(Dependencies.m_Timers), m_Hooks(std::move(Callbacks)),
      m_Token(Dependencies.m_MakeFencingToken()),
      // An earlier agent may have renewed the lease until now.
      m_LeaseEndsAt(std::max(LeaseEndsAt, m_Timers.now() + Settings.m_Lease)),
      m_LastReplyAt(m_Timers.now()) {}

ServerLink::~ServerLink() { m_Timers.cancel(m_Timer); }

void ServerLink::adoptNewIncarnation() {
  stopRenewal();
  m_LastEndNumber = 0;
  // The new incarnation may have taken orders until now.
  m_LeaseEndsAt = m_Timers.now() + m_Settings.m_MaxLease;
  fenceOrders(m_Token);
}

void ServerLink::close() {
  m_Timers.cancel(m_Timer);
  m_Alive.reset();
}

void ServerLink::requestLists(Duration Delay) {
  scheduleHold(HoldPurpose::List, Delay);
}

void ServerLink::startRenewal() {
  m_RenewsLease = true;
  startPolling();
}

void ServerLink::stopRenewal() {
  m_RenewsLease = false;
  startPolling();
}

void ServerLink::startPolling() {
  if (!std::exchange(m_IsPolling, true))
    sendHold(HoldPurpose::Poll);
}

void ServerLink::fenceOrders(std::uint64_t OrderToken) {
  if (m_PendingFenceToken > OrderToken)
    return;
  if (m_Token <= OrderToken)
    ++m_Token;
  logEvent(LogLevel::Info, "backend.fenced",
           {{"instance", m_Instance},
            {"order_token", OrderToken},
            {"token", m_Token}});
  sendHold(HoldPurpose::Fence);
}

void ServerLink::start(const RunId &Run, const std::string &Spec,
                       std::function<void(const OrderReply &)> Done) {
  std::weak_ptr<bool> Alive = m_Alive;
  TimePoint SentAt = m_Timers.now();
  m_Control.start(
      {target(), Run, Spec, extendLease()},
      [this, Alive, SentAt, Done = std::move(Done)](OrderReply Reply) {
        if (Alive.expired())
          return;
        updateClock(Reply.m_Clock);
        Done(Reply);
        if (!Alive.expired())
          recordReachability(Reply.m_Outcome, SentAt);
      });
}

void ServerLink::stop(const RunId &Run) {
  std::weak_ptr<bool> Alive = m_Alive;
  // A later hold reply lists the run as ended; until then the stop is repeated.
  m_Control.stop({target(), Run}, [this, Alive](const OrderReply &Reply) {
    if (!Alive.expired())
      updateClock(Reply.m_Clock);
  });
}

void ServerLink::scheduleHold(HoldPurpose Purpose, Duration Delay) {
  if (Delay == Duration::zero())
    return sendHold(Purpose);
  m_Timers.cancel(m_Timer);
  m_Timer = m_Timers.subscribe(Delay, [this, Purpose] { sendHold(Purpose); });
}

void ServerLink::sendHold(HoldPurpose Purpose) {
  HoldOrder Order;
  Order.m_Target = target();
  Order.m_LastEndNumber = m_LastEndNumber;
  bool IsResponsive = m_IsReachable && m_Timers.now() - m_LastReplyAt <
                                           m_Settings.m_RenewalTimeout;
  // Without runs it is not extended, so that it outlasts no later run's limit.
  bool RenewsLease = m_RenewsLease && Purpose != HoldPurpose::List &&
                     IsResponsive && m_Hooks.m_HasRuns();
  if (RenewsLease)
    Order.m_LeaseUntil = extendLease();
  if (Purpose == HoldPurpose::Poll)
    Order.m_Wait = m_Hooks.m_HasRuns() ? m_Settings.m_BusyHoldTimeout
                                       : m_Settings.m_HoldTimeout;
  if (Purpose == HoldPurpose::Fence)
    m_PendingFenceToken = m_Token;
  TimePoint SentAt = m_Timers.now();
  std::weak_ptr<bool> Alive = m_Alive;
  m_Control.hold(Order,
                 [this, Alive, Order, SentAt, Purpose](const HoldReply &Reply) {
                   if (!Alive.expired())
                     receiveReply(Purpose, Order, SentAt, Reply);
                 });
}

void ServerLink::receiveReply(HoldPurpose Purpose, const HoldOrder &Sent,
                              TimePoint SentAt, const HoldReply &Reply) {
  if (Reply.m_Outcome != OrderOutcome::Done)
    return handleFailedHold(Purpose, SentAt, Reply);
  m_LastReplyAt = m_Timers.now();
  m_IsReachable = true;
  updateClock(Reply.m_Clock);
  std::uint64_t Token = Sent.m_Target.m_FencingToken;
  if (Purpose == HoldPurpose::Fence && m_PendingFenceToken <= Token)
    m_PendingFenceToken = 0;
  std::weak_ptr<bool> Alive = m_Alive;
  m_Hooks.m_HoldConfirmed({Reply, Token, SentAt});
  // The hook may have closed this link.
  if (!Alive.expired() && Purpose == HoldPurpose::Poll)
    sendHold(HoldPurpose::Poll);
}

void ServerLink::handleFailedHold(HoldPurpose Purpose, TimePoint SentAt,
                                  const HoldReply &Reply) {
  logEvent(LogLevel::Warning, "backend.hold_failed",
           {{"instance", m_Instance},
            {"outcome", nameOf(Reply.m_Outcome)},
            {"since_reply_ms", toMilliseconds(m_Timers.now() - m_LastReplyAt)},
            {"token", m_Token}});
  std::weak_ptr<bool> Alive = m_Alive;
  recordReachability(Reply.m_Outcome, SentAt);
  if (Alive.expired())
    return;
  if (hasLapsed())
    return m_Hooks.m_EvidenceFound(LeaseLapsed{});
  if (Reply.m_Outcome == OrderOutcome::Fenced) {
    m_Token += m_TokenStep;
    m_TokenStep *= 2;
  }
  // The retry of a fence must not replace the timer of the renewals, so it
  // doesn't use m_Timer.
  bool IsReplyRecent = m_IsReachable && m_Timers.now() - m_LastReplyAt <
                                            m_Settings.m_PollPeriod * 3;
  Duration Delay = IsReplyRecent ? Duration::zero() : m_Settings.m_PollPeriod;
  m_Timers.subscribe(Delay, [this, Alive, Purpose] {
    if (!Alive.expired())
      sendHold(Purpose);
  });
}

void ServerLink::recordReachability(OrderOutcome Outcome, TimePoint SentAt) {
  if (Outcome == OrderOutcome::Unanswered)
    return;
  m_IsReachable = Outcome != OrderOutcome::NotSent &&
                  Outcome != OrderOutcome::WrongInstance;
  if (Outcome == OrderOutcome::NotSent)
    m_Hooks.m_EvidenceFound(ConnectionRefused{});
  else if (Outcome == OrderOutcome::WrongInstance)
    m_Hooks.m_EvidenceFound(OtherInstanceReplied{SentAt});
}

OrderTarget ServerLink::target() const {
  return {m_Address, m_Instance, m_Token};
}

void ServerLink::updateClock(Duration ServerClock) {
  if (ServerClock == Duration::zero())
    return;
  m_ServerClock = ServerClock;
  m_ServerClockReadAt = m_Timers.now();
}

/// Returns the new end of the lease by the server's clock, zero if the lease
/// must not be extended.
Duration ServerLink::extendLease() {
  TimePoint Now = m_Timers.now();
  TimePoint EndsAt = std::min(Now + m_Settings.m_Lease, m_Hooks.m_LeaseLimit());
  if (EndsAt <= Now)
    return Duration::zero();
  m_LeaseEndsAt = std::max(m_LeaseEndsAt, EndsAt);
  return m_ServerClock + (EndsAt - m_ServerClockReadAt);
}

/// Whether a server that does not reply has ended all runs for want of a lease.
bool ServerLink::hasLapsed() const {
  TimePoint Now = m_Timers.now();
  return Now - m_LeaseEndsAt > m_Settings.m_LeaseMargin &&
         Now - m_LastReplyAt > m_Settings.m_Lease + m_Settings.m_LeaseMargin;
}

} // namespace cyclamenwalk
