#ifndef CYCLAMENWALK_WORKER_INTERNAL_RUN_H
#define CYCLAMENWALK_WORKER_INTERNAL_RUN_H

#include "core/itimerservice.h"
#include "message/types/messages.h"
#include "statechart/boundchart.h"
#include "worker/types/backend.h"

#include <memory>
#include <optional>

namespace cyclamenwalk {

enum class RunState {
  Waiting,
  Starting,
  Unconfirmed,
  Doubtful,
  Running,
  Stopping,
  Ended
};
enum class RunEvent {
  Start,
  Expire,
  Stop,
  BackendLost,
  Accepted,
  Listed,
  Refused,
  Stale,
  Fenced,
  Unanswered,
  Ended,
  Missing
};

template <> struct ChartNames<RunState> {
  static constexpr std::array<std::string_view, 7> Values{
      "waiting", "starting", "unconfirmed", "doubtful",
      "running", "stopping", "ended"};
};
template <> struct ChartNames<RunEvent> {
  static constexpr std::array<std::string_view, 12> Values{
      "start",   "expire", "stop",   "backendLost", "accepted", "listed",
      "refused", "stale",  "fenced", "unanswered",  "ended",    "missing"};
};

/// The part of a placement that all of its tasks share.
struct PlacedJob {
  JobId m_Job;
  Incarnation m_Entry;
  std::string m_Name;
  std::string m_Spec;
  Resources m_Required;
  Duration m_ExpectedRunTime{};
  /// After this time the result is of no use.
  TimePoint m_DeadlineAt;
  /// Latest start with which the job meets its objective.
  TimePoint m_StartBy;
  /// Position in the queue; the earliest starts first.
  TimePoint m_OrderKey;
  TimePoint m_PlacedAt;
};

/// One run of a task, from its placement to its end.
struct Run {
  RunState m_State = RunState::Waiting;
  std::shared_ptr<const PlacedJob> m_Job;
  PlacedTask m_Task;
  RunId m_Id;
  /// Fencing token of the last start order; zero before the first.
  std::uint64_t m_OrderToken = 0;
  /// When the start was confirmed; zero before.
  TimePoint m_StartedAt;
  /// Progress as last listed, in percent, and when it was listed.
  std::uint32_t m_ProgressPercent = 0;
  TimePoint m_ProgressListedAt;
  /// When a listing last showed an increase; zero before the first listing.
  TimePoint m_LastProgressAt;
  bool m_HasProgressed = false;
  /// Whether the entry was told that the run cannot meet its deadline.
  bool m_IsDeadlineMissReported = false;
  /// Latest end of a run that was stopped on request; later its caller may have
  /// sent the job again.
  std::optional<TimePoint> m_EndBy;
  /// When the last stop order was sent; zero before.
  TimePoint m_StopSentAt;
  TimerId m_ExpiryTimer = 0;
  /// When a run that was placed later first started before this one, for lack
  /// of resources; zero before.
  TimePoint m_PassedOverSince;
  /// What proved the end, or the request that ended the run before its start.
  std::string_view m_EndEvidence;
  /// Valid in state Ended.
  RunOutcome m_RunOutcome = RunOutcome::NotStarted;
};

using RunPointer = std::shared_ptr<Run>;
using RunChart = BoundChart<Run, RunState, RunEvent>;

/// Whether the run may be using resources of the backend server.
inline bool usesResources(const Run &Candidate) {
  return Candidate.m_State != RunState::Waiting &&
         Candidate.m_State != RunState::Ended;
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_RUN_H
