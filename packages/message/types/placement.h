#ifndef CYCLAMENWALK_MESSAGE_TYPES_PLACEMENT_H
#define CYCLAMENWALK_MESSAGE_TYPES_PLACEMENT_H

#include "core/types/ids.h"
#include "core/types/resources.h"
#include "core/types/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Tasks that wait at an agent.
struct WaitingWork {
  /// Their place in the order, as a time from when the report was made; what
  /// has less goes first.
  Duration m_OrderWithin{};
  /// The cores that these tasks need, in thousandths.
  std::int64_t m_MilliCores = 0;
};

/// Agent to entry: what its worker has room for.
struct WorkerReport {
  std::string m_Service;
  /// The rack or switch that the worker shares with others.
  std::string m_Rack;
  /// Workers of one kind are equally fast while they are sound.
  std::string m_Kind;
  Resources m_Capacity;
  Resources m_Free;
  bool m_IsAccepting = false;
  /// Run time of tasks here against their estimates, percent.
  std::uint32_t m_SlownessPercent = 100;
  /// Expected time until a running task ends, averaged over room in use.
  Duration m_MeanRemaining{};
  std::vector<WaitingWork> m_Waiting;
  /// Tasks placed by the receiver that the report accounts for, counted over
  /// the life of the link.
  std::uint64_t m_PlacementsSeen = 0;
};

/// One task of a placement.
struct PlacedTask {
  std::uint32_t m_Index = 0;
  /// Grows with each start of the task.
  std::uint32_t m_Run = 0;
};

/// Entry to agent: run these tasks of a job as soon as there is room.
struct PlaceTasks {
  JobId m_Job;
  /// The name under which the backend server knows the job.
  std::string m_Name;
  std::string m_Service;
  std::string m_Spec;
  Resources m_Required;
  std::vector<PlacedTask> m_Tasks;
  /// Expected run time of one task on a worker of ordinary speed.
  Duration m_ExpectedRunTime{};
  /// Time left until the latest start with which the job meets its objective.
  Duration m_StartWithin{};
  /// As m_StartWithin, and later for lower priorities: the order of starts.
  Duration m_OrderWithin{};
  /// Time left until the answer is of no use to the caller.
  Duration m_Remaining{};
  /// Tasks that would wait for longer are sent back at once: another entry
  /// has taken the room, and a third worker may have some.
  Duration m_MaxWait{};
};

/// How a run of a task ended, or that it did not begin.
enum class RunOutcome : std::uint8_t {
  Succeeded,
  Failed,
  /// Ended by the agent on request.
  Stopped,
  /// Ended because the agent did not renew its lease.
  Lapsed,
  /// The backend server is gone, and the run with it.
  BackendGone,
  /// Never started and never will.
  NotStarted,
  /// As NotStarted, because the backend server has seen a higher run.
  StaleRun,
  Count
};

struct RunResult {
  JobId m_Job;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Run = 0;
  RunOutcome m_RunOutcome = RunOutcome::NotStarted;
  Duration m_RunTime{};
  /// Time between its start and the latest useful one; negative when late.
  Duration m_StartMargin{};
};

/// Agent to entry: by its progress, a run cannot end before its job's deadline.
struct DeadlineMissForecast {
  JobId m_Job;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Run = 0;
};

/// Agent to entry: runs that have ended, with the worker's state after them.
struct RunResults {
  std::vector<RunResult> m_RunResults;
  WorkerReport m_Report;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MESSAGE_TYPES_PLACEMENT_H
