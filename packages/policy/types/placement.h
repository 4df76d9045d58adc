#ifndef CYCLAMENWALK_POLICY_TYPES_PLACEMENT_H
#define CYCLAMENWALK_POLICY_TYPES_PLACEMENT_H

#include "core/types/ids.h"
#include "core/types/resources.h"
#include "core/types/time.h"
#include "message/types/placement.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// The state of a worker that a placement is computed from.
struct PlacementWorker {
  Incarnation m_Agent;
  std::string m_Rack;
  Resources m_Capacity;
  /// Free resources after all tasks that were sent there; negative while tasks
  /// wait.
  Resources m_Free;
  /// Factor on the expected run time of tasks; 1 for an average worker.
  double m_Slowness = 1;
  /// Mean expected time until a running task ends.
  Duration m_MeanRemaining{};
  std::vector<WaitingWork> m_Waiting;
  /// Sorted by time; empty if the worker has room or does not report ends.
  std::vector<ExpectedEnd> m_ExpectedEnds;
  /// Random addition to the cost, drawn for each placement, so that entries
  /// with the same reports do not all choose the same worker.
  Duration m_CostJitter{};
};

/// The equal tasks of one job that are to be placed.
struct PlacementJob {
  std::uint32_t m_Tasks = 1;
  Resources m_Required;
  Duration m_ExpectedRunTime{};
  /// Run time that the objective assumes: near the data, on a worker of the
  /// fastest kind.
  Duration m_NominalRunTime{};
  /// Time until the latest start that meets the objective, for a task that
  /// runs no longer than m_NominalRunTime.
  Duration m_StartWithin{};
  /// Order key among waiting tasks; the lowest starts first.
  Duration m_OrderWithin{};
  /// The rack that holds the data; empty for none.
  std::string m_Rack;
  /// Factor on the run time on any other rack.
  double m_RemotePenalty = 1;
};

/// The worker chosen for one task.
struct PlannedTask {
  Incarnation m_Agent;
  /// Expected run time there beyond m_NominalRunTime; the task must start
  /// earlier by as much.
  Duration m_ExtraRunTime{};
};

/// A worker for each task; no tasks if no worker has the capacity for one.
struct PlacementPlan {
  std::vector<PlannedTask> m_Tasks;
  /// The expected wait of the task that starts last.
  Duration m_LongestWait{};
  /// The highest ratio of expected wait to slack over all tasks. The extra run
  /// time on a slow worker reduces the slack of a task.
  double m_SlackUse = 0;
  /// Expected time until the last task ends.
  Duration m_FinishWithin{};
};

using Placement = std::function<PlacementPlan(std::vector<PlacementWorker>,
                                              const PlacementJob &)>;

/// Expected wait until running tasks have freed \p MissingMilliCores
/// (thousandths of a core).
Duration forecastResourceWait(const Resources &Capacity, Duration MeanRemaining,
                              std::int64_t MissingMilliCores);

/// Expected wait of one more task at \p Worker behind those that start before
/// it.
Duration forecastWait(const PlacementWorker &Worker, const PlacementJob &Job);

/// Assigns one task of \p Job to \p Worker: subtracts its resources from the
/// free ones if they suffice, otherwise adds it to the waiting tasks.
void assignTask(PlacementWorker &Worker, const PlacementJob &Job,
                Duration OrderWithin);

/// For wide jobs on workers of unequal speed: assigns each task to the worker
/// where it is expected to end first, given the tasks assigned before it.
PlacementPlan placeByEarliestFinish(std::vector<PlacementWorker> Workers,
                                    const PlacementJob &Job);

/// Baseline: assigns each task to the worker with the lowest core utilization.
PlacementPlan placeByLeastLoad(std::vector<PlacementWorker> Workers,
                               const PlacementJob &Job);

/// Order of tasks that wait at a worker, for bursts of mixed priorities: the
/// latest start, delayed by a step for each lower priority, so that short
/// urgent tasks do not wait behind less urgent ones.
Duration orderByStartAndPriority(Duration StartWithin, std::uint32_t Priority);

/// Baseline: the latest start alone.
Duration orderByStart(Duration StartWithin, std::uint32_t Priority);

using WaitingOrder =
    std::function<Duration(Duration StartWithin, std::uint32_t Priority)>;

/// The input of an ObjectiveAdmission decision on a planned job.
struct ObjectiveView {
  Duration m_LongestWait{};
  /// See PlacementPlan::m_SlackUse.
  double m_SlackUse = 0;
  /// Time until the latest start that meets the objective.
  Duration m_StartWithin{};
  /// Time until the caller no longer waits for the answer.
  Duration m_Remaining{};
  /// Expected run time of a task, which is often far off.
  Duration m_ExpectedRunTime{};
  /// Cores in use over the capacity of all workers.
  double m_CoreUtilization = 0;
  /// The ratio of the slack that may be spent on waiting, from recent starts.
  double m_SlackRatio = 1;
  /// Factor on it that shares scarce capacity; 1 when there is enough.
  double m_ShareCorrection = 1;
  /// Zero is the highest priority.
  std::uint32_t m_Priority = 0;
};

using ObjectiveAdmission = std::function<bool(const ObjectiveView &)>;

/// Whether a job is likely to end before its deadline. While workers are idle,
/// being possible is enough.
bool canMeetDeadline(const ObjectiveView &View);

/// For bursts: refuses a job on arrival if it would miss its objective, so that
/// jobs behind it can still meet theirs. Lower priorities are refused earlier,
/// which keeps resources for higher ones. A job that is likely to exceed its
/// deadline is admitted only while workers are idle.
bool admitWithinObjective(const ObjectiveView &View);

/// Called for each start with whether it was too late for its job's objective;
/// returns the ratio of the slack that new jobs may be expected to wait.
using SlackControl = std::function<double(bool WasLate)>;
using SlackControlFactory = std::function<SlackControl()>;

/// For lasting overload, where waits are underestimated because more urgent
/// work keeps arriving: reduces the ratio after each late start and raises it
/// slowly after timely ones, so that few starts are late.
SlackControl makeAdaptiveSlack();

/// Baseline: always allows the full slack.
SlackControl makeFullSlack();

/// Baseline: admits every job.
bool admitAlways(const ObjectiveView &View);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_PLACEMENT_H
