#ifndef CYCLAMENWALK_WORKER_INTERNAL_SERVERLINK_H
#define CYCLAMENWALK_WORKER_INTERNAL_SERVERLINK_H

#include "worker/workermodule.h"

#include <memory>

namespace cyclamenwalk {

/// A successful reply to a hold.
struct ConfirmedReply {
  const HoldReply &m_Reply;
  /// Fencing token that the server has confirmed with the reply.
  std::uint64_t m_Token = 0;
  /// When the hold was sent.
  TimePoint m_SentAt;
};

/// Sends orders to one instance of a backend server. Tracks the server's
/// address, fencing token and clock, and renews the lease of its runs.
class ServerLink {
public:
  struct Hooks {
    std::function<void(const ConfirmedReply &)> m_HoldConfirmed;
    /// No run that this agent started is in progress at the server any more.
    std::function<void(const std::string &Reason)> m_BackendLost;
    /// Whether runs are in progress; if so, their progress is polled more
    /// often.
    std::function<bool()> m_HasRuns;
    /// The lease of the runs in progress must not end later.
    std::function<TimePoint()> m_LeaseLimit;
  };

  ServerLink(std::string Address, std::string Instance, WorkerSettings Settings,
             const WorkerDependencies &Dependencies, Hooks Callbacks);
  ~ServerLink();

  std::uint64_t token() const { return m_Token; }

  /// The latest end of a lease that any order has carried.
  TimePoint leaseEndsAt() const { return m_LeaseEndsAt; }

  /// Requests the lists of runs without renewing the lease.
  void requestLists(Duration Delay = Duration::zero());

  /// Renews the lease continuously from now on.
  void startRenewal();

  /// Makes start orders with \p OrderToken void by raising the token. The reply
  /// that confirms the new token is passed to m_HoldConfirmed.
  void fenceOrders(std::uint64_t OrderToken);

  /// Sends no more holds and drops all outstanding replies.
  void close();

  void start(const RunId &Run, const std::string &Spec,
             std::function<void(const OrderReply &)> Done);
  void stop(const RunId &Run);

  /// The highest number of an ended run that has been processed.
  std::uint64_t lastEnd() const { return m_LastEndNumber; }
  void setLastEnd(std::uint64_t Number) { m_LastEndNumber = Number; }

private:
  enum class HoldPurpose { List, Fence, Renew };

  void sendHold(HoldPurpose Purpose);
  void scheduleHold(HoldPurpose Purpose, Duration Delay);
  void receiveReply(HoldPurpose Purpose, const HoldOrder &Sent,
                    TimePoint SentAt, const HoldReply &Reply);
  void handleFailedHold(HoldPurpose Purpose, const HoldReply &Reply);
  OrderTarget target() const;
  void updateClock(Duration ServerClock);
  Duration extendLease();
  bool hasLapsed() const;

  /// More than one life of an agent can raise its token by. The server may not
  /// have seen the highest token of an earlier life, of which orders can still
  /// be on their way, when the time of day was set back before this life.
  static constexpr std::uint64_t MinTokenStep = 1 << 16;

  const std::string m_Address;
  const std::string m_Instance;
  const WorkerSettings m_Settings;
  IBackendControl &m_Control;
  ITimerService &m_Timers;
  const Hooks m_Hooks;
  std::uint64_t m_Token = 0;
  /// Added to the token when the server has seen a higher one; doubles.
  std::uint64_t m_TokenStep = MinTokenStep;
  /// The token that an outstanding hold is to confirm; zero for none.
  std::uint64_t m_PendingFenceToken = 0;
  std::uint64_t m_LastEndNumber = 0;
  /// The server's clock at m_ServerClockReadAt.
  Duration m_ServerClock{};
  TimePoint m_ServerClockReadAt;
  TimePoint m_LeaseEndsAt;
  TimePoint m_LastReplyAt;
  TimerId m_Timer = 0;
  /// Callbacks hold a weak pointer to this and do nothing once it has expired.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_SERVERLINK_H
