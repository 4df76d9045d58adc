#ifndef CYCLAMENWALK_WORKER_INTERNAL_SERVERLINK_H
#define CYCLAMENWALK_WORKER_INTERNAL_SERVERLINK_H

#include "worker/workermodule.h"

#include <memory>

namespace cyclamenwalk {

/// A reply to a hold, with what its meaning depends on.
struct ListsReceived {
  const HoldReply &m_Reply;
  /// The token that the server has confirmed with it.
  std::uint64_t m_Token = 0;
  TimePoint m_SentAt;
};

/// Orders to one life of a backend server: its address, its fencing token, its
/// clock, and the holds that renew the lease of what runs there.
class ServerLink {
public:
  struct Hooks {
    std::function<void(const ListsReceived &)> m_Lists;
    /// Nothing runs at the server any more, as far as this agent started it.
    std::function<void(const std::string &Reason)> m_Lost;
    /// Whether runs are under way, whose progress is watched.
    std::function<bool()> m_IsBusy;
  };

  ServerLink(std::string Address, std::string Instance, WorkerSettings Settings,
             const WorkerDependencies &Needs, Hooks Calls);
  ~ServerLink();

  std::uint64_t token() const { return m_Token; }

  /// Asks what runs there, without renewing any lease.
  void look(Duration After = Duration::zero());

  /// Renews the lease again and again from now on.
  void keepLease();

  /// Makes orders with \p OrderToken void: the token is raised, and the lists
  /// that confirm it follow.
  void fence(std::uint64_t OrderToken);

  /// No hold is sent and no reply is given any more.
  void close();

  void start(const RunName &Run, const std::string &Spec,
             std::function<void(const OrderReply &)> Done);
  void stop(const RunName &Run);

  /// The highest number of an end that is known here.
  std::uint64_t lastEnd() const { return m_LastEnd; }
  void noteEnd(std::uint64_t Number) { m_LastEnd = Number; }

private:
  enum class Purpose { Look, Fence, Renew };

  void hold(Purpose Why);
  void holdAfter(Purpose Why, Duration Delay);
  void receive(Purpose Why, const HoldOrder &Sent, TimePoint SentAt,
               const HoldReply &Reply);
  void receiveNothing(Purpose Why, const HoldReply &Reply);
  OrderTarget target() const;
  void noteClock(Duration ServerClock);
  Duration leaseUntil();

  const std::string m_Address;
  const std::string m_Instance;
  const WorkerSettings m_Settings;
  IBackendControl &m_Control;
  ITimerService &m_Timers;
  const Hooks m_Hooks;
  std::uint64_t m_Token = 0;
  std::uint64_t m_TokenJump = 1;
  /// The token that a hold under way is to confirm; zero for none.
  std::uint64_t m_FencePending = 0;
  std::uint64_t m_LastEnd = 0;
  /// The server's clock at an instant of ours.
  Duration m_ServerClock{};
  TimePoint m_ServerClockAt;
  /// When the last order that renews the lease was sent.
  TimePoint m_LeaseSentAt;
  TimePoint m_AnsweredAt;
  TimerId m_Timer = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_SERVERLINK_H
