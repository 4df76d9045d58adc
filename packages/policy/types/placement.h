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

/// A worker as the choice of a place sees it.
struct PlacementWorker {
  Incarnation m_Agent;
  std::string m_Rack;
  Resources m_Capacity;
  /// What is free after all that was sent there; negative while tasks wait.
  Resources m_Free;
  /// Run time of tasks there against others; 1 for an ordinary worker.
  double m_Slowness = 1;
  /// Expected time until a running task ends.
  Duration m_MeanRemaining{};
  std::vector<WaitingWork> m_Waiting;
  /// Drawn anew for each placement, so that entries which see the same room do
  /// not all choose the same worker.
  Duration m_Bias{};
};

/// The tasks of one job, which are alike.
struct PlacementJob {
  std::uint32_t m_Tasks = 1;
  Resources m_Required;
  Duration m_ExpectedRunTime{};
  /// Run time that the objective takes for granted: near the data, on a worker
  /// of the fastest kind.
  Duration m_NominalRunTime{};
  /// Time until the latest start with which the objective is met, if the task
  /// takes no longer than m_NominalRunTime.
  Duration m_StartWithin{};
  /// The place among tasks that wait; less goes first.
  Duration m_OrderWithin{};
  /// The rack on which the data lies; empty for none.
  std::string m_Rack;
  /// Factor on the run time on any other rack.
  double m_RemotePenalty = 1;
};

/// Where one task goes.
struct PlannedTask {
  Incarnation m_Agent;
  /// How much longer than m_NominalRunTime it runs there, which leaves as much
  /// less time to wait.
  Duration m_Excess{};
};

/// A worker for each task; none when no worker can ever hold one.
struct PlacementPlan {
  std::vector<PlannedTask> m_Tasks;
  /// The wait of the task that starts last.
  Duration m_LongestWait{};
  /// The greatest share of the time left for waiting that a task waits, where
  /// a task that takes longer than m_NominalRunTime has less of that time.
  double m_SlackUse = 0;
  /// When the last task ends, from now.
  Duration m_Finish{};
};

using Placement = std::function<PlacementPlan(std::vector<PlacementWorker>,
                                              const PlacementJob &)>;

/// Expected wait for room of \p Missing cores (in thousandths) at a worker.
Duration forecastRoom(const Resources &Capacity, Duration MeanRemaining,
                      std::int64_t MissingMilliCores);

/// Expected wait of one more task at \p Worker behind what starts before it.
Duration forecastWait(const PlacementWorker &Worker, const PlacementJob &Job);

/// Counts one more task of \p Job at \p Worker, in its room or in its queue.
void countTask(PlacementWorker &Worker, const PlacementJob &Job,
               Duration OrderWithin);

/// For wide jobs on workers of unequal speed: each task goes where it is
/// expected to end first, given the tasks of the job placed before it.
PlacementPlan placeByEarliestFinish(std::vector<PlacementWorker> Workers,
                                    const PlacementJob &Job);

/// The baseline: each task goes where the largest share of cores is free.
PlacementPlan placeByLeastLoad(std::vector<PlacementWorker> Workers,
                               const PlacementJob &Job);

/// The order of tasks that wait at a worker, for bursts of mixed classes: the
/// latest useful start, and a lead for each step of priority, so that short
/// urgent tasks do not wait behind those that can.
Duration orderByStartAndPriority(Duration StartWithin, std::uint32_t Priority);

/// The baseline: the latest useful start alone.
Duration orderByStart(Duration StartWithin, std::uint32_t Priority);

using WaitingOrder =
    std::function<Duration(Duration StartWithin, std::uint32_t Priority)>;

/// What the admission of a job that was planned is decided on.
struct ObjectiveView {
  Duration m_LongestWait{};
  /// As in PlacementPlan.
  double m_SlackUse = 0;
  /// Time until the latest start with which the objective is met.
  Duration m_StartWithin{};
  /// Time until the answer is of no use to the caller.
  Duration m_Remaining{};
  /// Expected run time of a task, which is often far off.
  Duration m_ExpectedRunTime{};
  /// The share of cores in use at the workers.
  double m_UsedShare = 0;
  /// The part of the slack that may be spent on waiting, by recent starts.
  double m_SlackShare = 1;
  /// Zero goes first.
  std::uint32_t m_Priority = 0;
};

using ObjectiveAdmission = std::function<bool(const ObjectiveView &)>;

/// For bursts: a job that would miss its objective is refused on arrival, so
/// that those behind it can still meet theirs. Lower priorities keep a
/// distance from the limit, which leaves room for higher ones. A job that is
/// likely to run past its deadline is tried as long as workers are idle.
bool admitWithinObjective(const ObjectiveView &View);

/// Told of each start whether it came too late for its job's objective; gives
/// the part of the slack that jobs may be expected to wait from now on.
using SlackControl = std::function<double(bool WasLate)>;
using SlackControlFactory = std::function<SlackControl()>;

/// For overload that lasts: expected waits are too short then, as work that is
/// more urgent keeps arriving. Less waiting is admitted after late starts, and
/// slowly more after others, so that few starts are late.
SlackControl makeAdaptiveSlack();

/// The baseline: all of the slack, always.
SlackControl makeWholeSlack();

/// The baseline: admits everything.
bool admitAlways(const ObjectiveView &View);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_PLACEMENT_H
