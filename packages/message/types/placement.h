#ifndef CYCLAMENWALK_MESSAGE_TYPES_PLACEMENT_H
#define CYCLAMENWALK_MESSAGE_TYPES_PLACEMENT_H

#include "core/types/ids.h"
#include "core/types/resources.h"
#include "core/types/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// A group of tasks that wait at an agent.
struct WaitingWork {
  /// The order key of the tasks, relative to the time of the report; smaller
  /// values start first.
  Duration m_OrderWithin{};
  /// The cores that the tasks require, in thousandths.
  std::int64_t m_MilliCores = 0;
};

/// What the latest ends tell about the speed of a worker.
struct LearnedSpeed {
  /// The run time of tasks relative to their estimates, in thousandths. Tails
  /// hardly count.
  std::uint32_t m_SlownessPermille = 1000;
  /// The standard deviation of the logarithm of that ratio, in thousandths.
  std::uint32_t m_SpreadPermille = 0;
  /// The number of ends; zero when the worker's speed is unknown.
  std::uint32_t m_Ends = 0;
};

/// Resources that are expected to become free when runs end.
struct ExpectedEnd {
  /// Relative to the time of the report.
  Duration m_Within{};
  Resources m_Freed;
  bool operator==(const ExpectedEnd &) const = default;
};

/// Agent to entry: the resources and the state of its worker.
struct WorkerReport {
  std::string m_Service;
  /// The rack or switch that the worker shares with other workers.
  std::string m_Rack;
  /// Workers of one kind are equally fast while they are healthy.
  std::string m_Kind;
  Resources m_Capacity;
  Resources m_Free;
  bool m_IsAccepting = false;
  /// The run time of tasks relative to their estimates, in percent.
  std::uint32_t m_SlowdownPercent = 100;
  /// The expected remaining run time of the running tasks, averaged over the
  /// resources that they use.
  Duration m_MeanRemaining{};
  std::vector<WaitingWork> m_Waiting;
  /// The number of tasks placed by the receiver since the link came up that the
  /// report accounts for.
  std::uint64_t m_PlacementsSeen = 0;
  LearnedSpeed m_Speed;
  /// The next ends of runs, merged into a few steps, sorted by time; empty
  /// while the worker has room, and from an agent that doesn't look ahead.
  std::vector<ExpectedEnd> m_ExpectedEnds;
};

/// One task of a placement.
struct PlacedTask {
  std::uint32_t m_Index = 0;
  /// Incremented by each start of the task.
  std::uint32_t m_Run = 0;
};

/// Entry to agent: run these tasks of a job when resources are free.
struct PlaceTasks {
  JobId m_Job;
  /// The name of the job at the backend server.
  std::string m_Name;
  std::string m_Service;
  std::string m_Spec;
  Resources m_Required;
  std::vector<PlacedTask> m_Tasks;
  /// The expected run time of one task on a worker of normal speed.
  Duration m_ExpectedRunTime{};
  /// The time left until the latest start with which the job meets its
  /// objective.
  Duration m_StartWithin{};
  /// The order key of the tasks: m_StartWithin, increased for lower priorities.
  Duration m_OrderWithin{};
  /// The time left until the caller has no use for the answer.
  Duration m_Remaining{};
  /// Tasks that would wait longer are returned at once, because another entry
  /// has taken the resources and another worker may have free ones.
  Duration m_MaxWait{};
};

/// How a run of a task ended, or why it did not start.
enum class RunOutcome : std::uint8_t {
  Succeeded,
  Failed,
  /// Ended by the agent on request of an entry.
  Stopped,
  /// Ended because the agent did not renew the lease.
  Lapsed,
  /// Lost together with the backend server.
  BackendGone,
  /// Never started and never will.
  NotStarted,
  /// Not started, because the backend server has seen a higher run number.
  StaleRun,
  Count
};

struct RunResult {
  JobId m_Job;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Run = 0;
  RunOutcome m_RunOutcome = RunOutcome::NotStarted;
  Duration m_RunTime{};
  /// The time between the start and the latest useful start; negative when the
  /// start was late.
  Duration m_StartMargin{};
};

/// Agent to entry: judging by its progress, a run will end after the deadline
/// of its job.
struct DeadlineMissForecast {
  JobId m_Job;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Run = 0;
};

/// Agent to entry: runs that have ended and the worker's state after them.
struct RunResults {
  std::vector<RunResult> m_RunResults;
  WorkerReport m_Report;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MESSAGE_TYPES_PLACEMENT_H
