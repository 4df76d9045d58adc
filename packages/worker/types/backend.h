#ifndef CYCLAMENWALK_WORKER_TYPES_BACKEND_H
#define CYCLAMENWALK_WORKER_TYPES_BACKEND_H

#include "core/types/resources.h"
#include "core/types/time.h"
#include "message/types/placement.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Periodic heartbeat of a backend server.
struct BackendAnnouncement {
  /// Identifies one instance of the server, together with m_InstanceStartedAt.
  std::string m_Instance;
  /// Start of the instance, by the server's wall clock; zero when unknown.
  Duration m_InstanceStartedAt{};
  /// IP:PORT at which the server takes orders.
  std::string m_Address;
  std::string m_Service;
  std::string m_Rack;
  std::string m_Kind;
  Resources m_Capacity;
  bool m_IsLeaving = false;
  /// The least time until a leaving server ends, if it states it.
  std::optional<Duration> m_Remaining;
  /// How much longer the server is slow after its start; zero for one that is
  /// warm or does not state it.
  Duration m_ColdRemaining{};
  /// Increases with each announcement of an instance.
  std::uint64_t m_Sequence = 0;
};

/// Identifies one run of a task at the backend server.
struct RunId {
  std::string m_Task;
  std::uint32_t m_Run = 0;
  auto operator<=>(const RunId &) const = default;
};

/// The address of an order and the sender's fencing token.
struct OrderTarget {
  std::string m_Address;
  std::string m_Instance;
  /// The server rejects orders whose token is lower than the highest it has
  /// seen.
  std::uint64_t m_FencingToken = 0;
};

struct StartOrder {
  OrderTarget m_Target;
  RunId m_Run;
  std::string m_Spec;
  /// End of the lease of all runs at the server, by the server's clock.
  Duration m_LeaseUntil{};
};

struct StopOrder {
  OrderTarget m_Target;
  RunId m_Run;
};

/// Long poll that renews the lease of all runs and asks for the runs in
/// progress and the runs that have ended.
struct HoldOrder {
  OrderTarget m_Target;
  /// As in StartOrder; zero does not renew the lease.
  Duration m_LeaseUntil{};
  /// The highest number of an ended run that this agent has processed.
  std::uint64_t m_LastEndNumber = 0;
  /// How long the server waits for a run to end before it replies.
  Duration m_Wait{};
};

enum class OrderOutcome {
  Done,
  /// Rejected: the server has seen a higher fencing token.
  Fenced,
  /// Not started: the server has seen this run or a later one of the task.
  StaleRun,
  /// Not started: the lease had expired on arrival.
  LeaseExpired,
  /// Not started for another reason, such as insufficient resources.
  Refused,
  /// Rejected by another instance of the server.
  WrongInstance,
  /// Never written to a connection, so this order is not carried out. Says
  /// nothing about earlier orders.
  NotSent,
  /// No usable reply; the order may still be carried out at any later time.
  Unanswered
};

struct OrderReply {
  OrderOutcome m_Outcome = OrderOutcome::Unanswered;
  /// The server's clock when it replied; zero when unknown.
  Duration m_Clock{};
};

/// A run in progress, as listed in a HoldReply.
struct ActiveRun {
  RunId m_Run;
  /// Completed share of the run's work, in percent, rounded down.
  std::uint32_t m_ProgressPercent = 0;
};

/// A run that has ended, as listed in a HoldReply.
struct EndedRun {
  /// Assigned by the server, in ascending order.
  std::uint64_t m_Number = 0;
  RunId m_Run;
  RunOutcome m_RunOutcome = RunOutcome::Failed;
};

/// The greatest number of ends in one HoldReply.
inline constexpr std::size_t MaxListedEnds = 500;

struct HoldReply {
  OrderOutcome m_Outcome = OrderOutcome::Unanswered;
  Duration m_Clock{};
  /// As in BackendAnnouncement; zero when unknown.
  Duration m_InstanceStartedAt{};
  std::vector<ActiveRun> m_Running;
  /// Sorted by m_Number.
  std::vector<EndedRun> m_Ended;

  /// Whether no further ends follow in a later reply.
  bool hasAllEnds() const { return m_Ended.size() < MaxListedEnds; }
};

/// Timeouts and periods for the control of a backend server.
struct WorkerSettings {
  /// How long runs continue without a renewal by this agent.
  Duration m_Lease = milliseconds(650);
  /// The server shortens longer leases to this.
  Duration m_MaxLease = milliseconds(1000);
  /// Runs end at the latest this long after their entry and its callers were
  /// last confirmed alive. Together with the drift of the server's clock and
  /// the duration of a stop, it is shorter than the time after which callers
  /// send a job again.
  Duration m_CallerTimeout = milliseconds(1150);
  /// How long the server delays its reply to a hold while no run ends.
  Duration m_HoldTimeout = milliseconds(300);
  /// The same while runs are in progress: if a reply is lost, ends of runs are
  /// learned little later than this.
  Duration m_BusyHoldTimeout = milliseconds(30);
  /// Without a reply for this time the lease is no longer renewed, so that all
  /// runs are known to have ended one lease later.
  Duration m_RenewalTimeout = milliseconds(450);
  /// Allowance for clock drift: a run has ended for certain this long after
  /// its lease.
  Duration m_LeaseMargin = milliseconds(100);
  /// Pause between polls while orphaned runs are being stopped, and before a
  /// failed hold is repeated.
  Duration m_PollPeriod = milliseconds(30);
  /// How long changes are collected before a report is sent.
  Duration m_ReportDelay = milliseconds(5);
  /// Insignificant changes are reported to entries within this time.
  Duration m_MaxReportPeriod = milliseconds(100);
  /// How often reports are repeated while runs take longer than expected.
  Duration m_OverdueReportPeriod = milliseconds(150);
  /// A placed task that has not started after this time is returned.
  Duration m_MaxQueueTime = milliseconds(700);
  /// How often an entry that gets no more reports is checked for remaining
  /// runs. Longer than a placement can be on its way.
  Duration m_WithdrawPeriod = milliseconds(500);
  /// Whether single runs far above their expected time are kept apart from the
  /// speed of the server.
  bool m_SeparatesTails = false;
  /// Whether a server that was lost repeatedly gets no work for a while after
  /// its return.
  bool m_PausesAfterLosses = false;
  /// Whether runs that do not fit get reservations and reports list expected
  /// ends.
  bool m_LookAhead = false;
  /// With m_LookAhead, how long runs that were placed later may start before a
  /// run that does not fit.
  Duration m_MaxPassedOver = milliseconds(500);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_TYPES_BACKEND_H
