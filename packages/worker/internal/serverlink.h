#ifndef CYCLAMENWALK_WORKER_INTERNAL_SERVERLINK_H
#define CYCLAMENWALK_WORKER_INTERNAL_SERVERLINK_H

#include "worker/types/evidence.h"
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
    std::function<void(const ServerEvidence &)> m_EvidenceFound;
    /// Whether runs are in progress; if so, their progress is polled more
    /// often.
    std::function<bool()> m_HasRuns;
    /// The lease of the runs in progress must not end later.
    std::function<TimePoint()> m_LeaseLimit;
  };

  /// \p LeaseEndsAt: the latest end of a lease from an earlier session.
  ServerLink(std::string Address, std::string Instance, WorkerSettings Settings,
             const WorkerDependencies &Dependencies, TimePoint LeaseEndsAt,
             Hooks Callbacks);
  ~ServerLink();

  std::uint64_t token() const { return m_Token; }

  /// The latest end of a lease that any order has carried.
  TimePoint leaseEndsAt() const { return m_LeaseEndsAt; }

  /// Requests the lists of runs without renewing the lease.
  void requestLists(Duration Delay = Duration::zero());

  /// Renews the lease continuously from now on.
  void startRenewal();

  /// Requests lists continuously without renewing the lease any more.
  void stopRenewal();

  /// Makes start orders with \p OrderToken void by a higher token. The reply
  /// that confirms the new token is passed to m_HoldConfirmed.
  void fenceOrders(std::uint64_t OrderToken);

  /// A new incarnation of the server numbers its ends anew, and may still take
  /// orders that were sent to the earlier one; they are fenced.
  void adoptNewIncarnation();

  /// Sends no more holds and drops all outstanding replies.
  void close();

  void start(const RunId &Run, const std::string &Spec,
             std::function<void(const OrderReply &)> Done);
  void stop(const RunId &Run);

  /// The highest number of an ended run that has been processed.
  std::uint64_t lastEnd() const { return m_LastEndNumber; }
  void setLastEnd(std::uint64_t Number) { m_LastEndNumber = Number; }

private:
  enum class HoldPurpose { List, Fence, Poll };

  void startPolling();
  void sendHold(HoldPurpose Purpose);
  void scheduleHold(HoldPurpose Purpose, Duration Delay);
  void receiveReply(HoldPurpose Purpose, const HoldOrder &Sent,
                    TimePoint SentAt, const HoldReply &Reply);
  void handleFailedHold(HoldPurpose Purpose, TimePoint SentAt,
                        const HoldReply &Reply);
  /// Takes the outcome of an order as evidence about the server.
  void recordReachability(OrderOutcome Outcome, TimePoint SentAt);
  OrderTarget target() const;
  void updateClock(Duration ServerClock);
  Duration extendLease();
  bool hasLapsed() const;

  /// More than one incarnation of an agent can raise its token by. The server
  /// may not have seen the highest token of an earlier incarnation, of which
  /// orders can still be on their way, when the time of day was set back before
  /// this one.
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
  /// Whether the last order that had a definite outcome reached the server.
  bool m_IsReachable = true;
  bool m_IsPolling = false;
  bool m_RenewsLease = false;
  TimerId m_Timer = 0;
  /// Callbacks hold a weak pointer to this and do nothing once it has expired.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_SERVERLINK_H
