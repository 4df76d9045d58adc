#ifndef CYCLAMENWALK_WORKER_TYPES_BACKEND_H
#define CYCLAMENWALK_WORKER_TYPES_BACKEND_H

#include "core/types/resources.h"
#include "core/types/time.h"
#include "message/types/placement.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// What a backend server says of itself, again and again.
struct BackendAnnouncement {
  /// Names one life of the server, together with m_BornAt.
  std::string m_Instance;
  /// When that life began, by the server's time of day; zero when not said.
  Duration m_BornAt{};
  /// IP:PORT at which it takes orders.
  std::string m_Address;
  std::string m_Service;
  std::string m_Rack;
  std::string m_Kind;
  Resources m_Capacity;
  bool m_IsLeaving = false;
  /// Grows with each announcement of a life.
  std::uint64_t m_Sequence = 0;
};

/// Names one run of a task at the backend server.
struct RunName {
  std::string m_Task;
  std::uint32_t m_Run = 0;
  auto operator<=>(const RunName &) const = default;
};

/// Where an order goes, and with which authority.
struct OrderTarget {
  std::string m_Address;
  std::string m_Instance;
  /// The server ignores orders with a lower token than the highest it saw.
  std::uint64_t m_FencingToken = 0;
};

struct StartOrder {
  OrderTarget m_To;
  RunName m_Run;
  std::string m_Spec;
  /// Until when all runs of the server may go on, by the server's clock.
  Duration m_LeaseUntil{};
};

struct StopOrder {
  OrderTarget m_To;
  RunName m_Run;
};

/// Renews the lease of all runs and asks what runs and what has ended.
struct HoldOrder {
  OrderTarget m_To;
  /// As in StartOrder; zero to let runs lapse.
  Duration m_LeaseUntil{};
  /// The highest number of an end that is known here.
  std::uint64_t m_LastEnd = 0;
  /// How long the server waits for an end before it answers.
  Duration m_Wait{};
};

enum class OrderOutcome {
  Done,
  /// The server had seen a higher fencing token and did nothing.
  Fenced,
  /// The server had seen this run or a higher one, and did not start it.
  StaleRun,
  /// The lease was over on arrival; not started.
  LeaseOver,
  /// Not started for another reason, such as no room.
  Refused,
  /// Another life of the server answered and did nothing.
  WrongInstance,
  /// Nothing listens there, so nothing was carried out.
  Unreachable,
  /// No usable answer; the order may be carried out at any later time.
  Unanswered
};

struct OrderReply {
  OrderOutcome m_Outcome = OrderOutcome::Unanswered;
  /// The server's clock when it answered; zero when not said.
  Duration m_Clock{};
};

/// A run that is under way.
struct ListedRun {
  RunName m_Name;
  /// The share of its work that is done, percent; rounded down.
  std::uint32_t m_ProgressPercent = 0;
};

/// A run that has ended, with the server's number for the end.
struct ListedEnd {
  std::uint64_t m_Number = 0;
  RunName m_Run;
  RunOutcome m_RunOutcome = RunOutcome::Failed;
};

struct HoldReply {
  OrderOutcome m_Outcome = OrderOutcome::Unanswered;
  Duration m_Clock{};
  /// As in BackendAnnouncement; zero when not said.
  Duration m_BornAt{};
  std::vector<ListedRun> m_Running;
  /// In ascending order of their numbers.
  std::vector<ListedEnd> m_Ended;
};

/// Bounds of the control of a backend server.
struct WorkerSettings {
  /// How long runs go on without word from this agent.
  Duration m_Lease = milliseconds(1000);
  /// How long the server holds an answer back while nothing ends.
  Duration m_HoldWait = milliseconds(300);
  /// The same while runs are under way: a lost answer hides ends for little
  /// longer than this.
  Duration m_BusyHoldWait = milliseconds(30);
  /// Without any answer for this time the lease is no longer renewed, so that
  /// runs are known to be over a lease later.
  Duration m_RenewalPatience = milliseconds(450);
  /// After its lease, and this for clocks of unequal speed, a run is over.
  Duration m_LeaseSlack = milliseconds(100);
  /// Pause between looks while runs of an earlier agent are being ended.
  Duration m_LookPause = milliseconds(30);
  /// How long reports are collected before they are sent.
  Duration m_ReportDelay = milliseconds(5);
  /// Within this time entries are also told of changes that matter little.
  Duration m_ReportPeriod = milliseconds(100);
  /// How often a report is repeated while runs take longer than expected.
  Duration m_OverduePeriod = milliseconds(150);
  /// Longest stay of a placed task in the queue.
  Duration m_LongestWait = milliseconds(700);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_TYPES_BACKEND_H
