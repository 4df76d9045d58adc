#include "worker/internal/serverlink.h"

#include "core/log.h"

namespace cyclamenwalk {

ServerLink::ServerLink(std::string Address, std::string Instance,
                       WorkerSettings Settings, const WorkerDependencies &Needs,
                       Hooks Calls)
    : m_Address(std::move(Address)), m_Instance(std::move(Instance)),
      m_Settings(Settings), m_Control(Needs.m_Control),
      m_Timers(Needs.m_Timers), m_Hooks(std::move(Calls)),
      m_Token(Needs.m_FirstToken()), m_LeaseSentAt(m_Timers.now()),
      m_AnsweredAt(m_Timers.now()) {}

ServerLink::~ServerLink() { m_Timers.cancel(m_Timer); }

void ServerLink::close() {
  m_Timers.cancel(m_Timer);
  m_Alive.reset();
}

void ServerLink::look(Duration After) { holdAfter(Purpose::Look, After); }

void ServerLink::keepLease() { hold(Purpose::Renew); }

void ServerLink::fence(std::uint64_t OrderToken) {
  if (m_FencePending > OrderToken)
    return;
  ++m_Token;
  logEvent(LogLevel::Info, "backend.fenced",
           {{"instance", m_Instance},
            {"order_token", OrderToken},
            {"token", m_Token}});
  hold(Purpose::Fence);
}

void ServerLink::start(const RunName &Run, const std::string &Spec,
                       std::function<void(const OrderReply &)> Done) {
  std::weak_ptr<bool> Alive = m_Alive;
  m_Control.start({target(), Run, Spec, leaseUntil()},
                  [this, Alive, Done = std::move(Done)](OrderReply Reply) {
                    if (Alive.expired())
                      return;
                    noteClock(Reply.m_Clock);
                    Done(Reply);
                  });
}

void ServerLink::stop(const RunName &Run) {
  std::weak_ptr<bool> Alive = m_Alive;
  // The list of ends tells when it has stopped; a lost order is repeated.
  m_Control.stop({target(), Run}, [this, Alive](const OrderReply &Reply) {
    if (!Alive.expired())
      noteClock(Reply.m_Clock);
  });
}

void ServerLink::holdAfter(Purpose Why, Duration Delay) {
  if (Delay == Duration::zero())
    return hold(Why);
  m_Timers.cancel(m_Timer);
  m_Timer = m_Timers.subscribe(Delay, [this, Why] { hold(Why); });
}

void ServerLink::hold(Purpose Why) {
  HoldOrder Order;
  Order.m_To = target();
  Order.m_LastEnd = m_LastEnd;
  bool IsAnswering =
      m_Timers.now() - m_AnsweredAt < m_Settings.m_RenewalPatience;
  bool RenewsLease = Why != Purpose::Look && IsAnswering;
  if (RenewsLease)
    Order.m_LeaseUntil = leaseUntil();
  if (Why == Purpose::Renew)
    Order.m_Wait =
        m_Hooks.m_IsBusy() ? m_Settings.m_BusyHoldWait : m_Settings.m_HoldWait;
  if (Why == Purpose::Fence)
    m_FencePending = m_Token;
  TimePoint SentAt = m_Timers.now();
  std::weak_ptr<bool> Alive = m_Alive;
  m_Control.hold(Order,
                 [this, Alive, Order, SentAt, Why](const HoldReply &Reply) {
                   if (!Alive.expired())
                     receive(Why, Order, SentAt, Reply);
                 });
}

void ServerLink::receive(Purpose Why, const HoldOrder &Sent, TimePoint SentAt,
                         const HoldReply &Reply) {
  if (Reply.m_Outcome != OrderOutcome::Done)
    return receiveNothing(Why, Reply);
  m_AnsweredAt = m_Timers.now();
  noteClock(Reply.m_Clock);
  std::uint64_t Token = Sent.m_To.m_FencingToken;
  if (Why == Purpose::Fence && m_FencePending <= Token)
    m_FencePending = 0;
  std::weak_ptr<bool> Alive = m_Alive;
  m_Hooks.m_Lists({Reply, Token, SentAt});
  // The lists may have shown that the server is lost.
  if (!Alive.expired() && Why == Purpose::Renew)
    hold(Purpose::Renew);
}

void ServerLink::receiveNothing(Purpose Why, const HoldReply &Reply) {
  logEvent(LogLevel::Warning, "backend.hold_failed",
           {{"instance", m_Instance},
            {"outcome", static_cast<int>(Reply.m_Outcome)},
            {"silent_ms", toMilliseconds(m_Timers.now() - m_AnsweredAt)},
            {"token", m_Token}});
  if (Reply.m_Outcome == OrderOutcome::Unreachable)
    return m_Hooks.m_Lost("nothing listens at its address");
  if (Reply.m_Outcome == OrderOutcome::WrongInstance)
    return m_Hooks.m_Lost("another life answers");
  Duration OverAfter = m_Settings.m_Lease + m_Settings.m_LeaseSlack;
  if (m_Timers.now() - m_LeaseSentAt > OverAfter)
    return m_Hooks.m_Lost("its lease is over without an answer");
  if (Reply.m_Outcome == OrderOutcome::Fenced) {
    m_Token += m_TokenJump;
    m_TokenJump *= 2;
  }
  // A fence that was not confirmed must not take the timer of the renewals.
  std::weak_ptr<bool> Alive = m_Alive;
  bool IsFirst = m_Timers.now() - m_AnsweredAt < m_Settings.m_LookPause * 3;
  Duration Pause = IsFirst ? Duration::zero() : m_Settings.m_LookPause;
  m_Timers.subscribe(Pause, [this, Alive, Why] {
    if (!Alive.expired())
      hold(Why);
  });
}

OrderTarget ServerLink::target() const {
  return {m_Address, m_Instance, m_Token};
}

void ServerLink::noteClock(Duration ServerClock) {
  if (ServerClock == Duration::zero())
    return;
  m_ServerClock = ServerClock;
  m_ServerClockAt = m_Timers.now();
}

Duration ServerLink::leaseUntil() {
  m_LeaseSentAt = m_Timers.now();
  return m_ServerClock + (m_Timers.now() - m_ServerClockAt) +
         m_Settings.m_Lease;
}

} // namespace cyclamenwalk
