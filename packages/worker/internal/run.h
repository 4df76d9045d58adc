#ifndef CYCLAMENWALK_WORKER_INTERNAL_RUN_H
#define CYCLAMENWALK_WORKER_INTERNAL_RUN_H

#include "core/itimerservice.h"
#include "message/types/messages.h"
#include "statechart/boundchart.h"
#include "worker/types/backend.h"

#include <memory>

namespace cyclamenwalk {

enum class RunState { Waiting, Starting, Doubtful, Running, Stopping, Ended };
enum class RunEvent {
  Start,
  Expire,
  Stop,
  Lost,
  Accepted,
  Listed,
  Refused,
  TooLow,
  Fenced,
  Unanswered,
  Ended,
  Missing
};

template <> struct ChartNames<RunState> {
  static constexpr std::array<std::string_view, 6> Values{
      "waiting", "starting", "doubtful", "running", "stopping", "ended"};
};
template <> struct ChartNames<RunEvent> {
  static constexpr std::array<std::string_view, 12> Values{
      "start",   "expire", "stop",   "lost",       "accepted", "listed",
      "refused", "tooLow", "fenced", "unanswered", "ended",    "missing"};
};

/// What the tasks of one placement share.
struct PlacedJob {
  JobId m_Job;
  Incarnation m_Entry;
  std::string m_Name;
  std::string m_Spec;
  Resources m_Required;
  Duration m_ExpectedRunTime{};
  /// When the answer is of no use any more.
  TimePoint m_DeadlineAt;
  /// Latest start with which the job meets its objective.
  TimePoint m_StartBy;
  /// The place among those that wait; earlier goes first.
  TimePoint m_OrderKey;
  TimePoint m_PlacedAt;
};

/// One run of a task, from its placement to its end.
struct Run {
  RunState m_State = RunState::Waiting;
  std::shared_ptr<const PlacedJob> m_Job;
  PlacedTask m_Task;
  RunName m_Name;
  /// The token of the last order to start it; zero before the first.
  std::uint64_t m_OrderToken = 0;
  /// When it was known to run; zero before.
  TimePoint m_StartedAt;
  /// The share of its work that was done at m_ProgressAt, percent.
  std::uint32_t m_ProgressPercent = 0;
  TimePoint m_ProgressAt;
  /// When its progress was last seen to grow.
  TimePoint m_GrewAt;
  /// Whether its progress was seen to grow.
  bool m_GetsOn = false;
  /// Whether the entry was told that it cannot end in time.
  bool m_IsHopeless = false;
  /// When it was last asked to stop; zero before.
  TimePoint m_StopSentAt;
  TimerId m_ExpiryTimer = 0;
  /// How it ended, once it has.
  RunOutcome m_RunOutcome = RunOutcome::NotStarted;
};

using RunPointer = std::shared_ptr<Run>;
using RunChart = BoundChart<Run, RunState, RunEvent>;

/// Whether the run may occupy room at the backend server.
inline bool holdsRoom(const Run &Known) {
  return Known.m_State != RunState::Waiting && Known.m_State != RunState::Ended;
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_RUN_H
