#include "policy/types/placement.h"

#include "policy/types/lookahead.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenwalk {

namespace {

/// The ratio of the slack that a job may spend on waiting: that of the highest
/// priority, the step to each lower one, and the minimum.
constexpr double HighestPrioritySlackRatio = 1.0;
constexpr double PrioritySlackRatioStep = 0.1;
constexpr double MinPrioritySlackRatio = 0.5;
/// The ratio of its expected run time in which a task can end, and the one that
/// it is likely to need.
constexpr double OptimisticRunTimeRatio = 0.4;
constexpr double LikelyRunTimeRatio = 0.75;
/// Below this utilization workers count as idle.
constexpr double MaxIdleUtilization = 0.75;
/// Added to the order key of a waiting task for each lower priority.
constexpr Duration PriorityStep = milliseconds(100);
/// Factor after a late start and step after a timely one: the adaptive slack
/// is in balance when one start in fifteen is late.
constexpr double LateStartFactor = 0.97;
constexpr double TimelyStartStep = 0.001;
constexpr double MinAdaptiveSlackRatio = 0.05;
/// Counts the wait of a task more than its run time, as waiting tasks also
/// delay later ones.
constexpr double WaitWeightFactor = 2;
/// The ratio of the slack that remains on slow workers at least, as run times
/// are too uncertain to rule these workers out.
constexpr double MinRemainingSlackRatio = 0.25;
/// Weight of the utilization in the cost: among workers with the same expected
/// finish the least utilized one is chosen.
constexpr Duration UtilizationTieBreak = milliseconds(10);

double coreUtilization(const PlacementWorker &Worker) {
  auto Capacity = static_cast<double>(Worker.m_Capacity.m_MilliCores);
  auto Free = static_cast<double>(Worker.m_Free.m_MilliCores);
  return Capacity > 0 ? 1 - Free / Capacity : 1;
}

Duration runTime(const PlacementWorker &Worker, const PlacementJob &Job) {
  bool IsRemote = !Job.m_Rack.empty() && Job.m_Rack != Worker.m_Rack;
  return scaled(Job.m_ExpectedRunTime,
                Worker.m_Slowness * (IsRemote ? Job.m_RemotePenalty : 1));
}

double slackUse(Duration Wait, Duration ExtraRunTime, const PlacementJob &Job) {
  Duration MinSlack = scaled(Job.m_StartWithin, MinRemainingSlackRatio);
  Duration Slack = std::max(Job.m_StartWithin - ExtraRunTime, MinSlack);
  if (Wait <= Duration::zero())
    return 0;
  return Slack > Duration::zero() ? static_cast<double>(Wait.count()) /
                                        static_cast<double>(Slack.count())
                                  : std::numeric_limits<double>::infinity();
}

/// Rates a worker for the next task; the worker with the lowest cost gets it.
using CostFunction =
    std::function<Duration(const PlacementWorker &, Duration Wait)>;

PlacementPlan placeByLowestCost(std::vector<PlacementWorker> Workers,
                                const PlacementJob &Job,
                                const CostFunction &ComputeCost) {
  PlacementPlan Plan;
  std::erase_if(Workers, [&Job](const PlacementWorker &Worker) {
    return !Worker.m_Capacity.canFit(Job.m_Required);
  });
  if (Workers.empty())
    return Plan;
  for (std::uint32_t I = 0; I < Job.m_Tasks; ++I) {
    PlacementWorker *Best = nullptr;
    Duration BestCost = Duration::max();
    Duration BestWait{};
    for (PlacementWorker &Worker : Workers) {
      Duration Wait = forecastWait(Worker, Job);
      Duration Cost = ComputeCost(Worker, Wait);
      if (Cost >= BestCost)
        continue;
      Best = &Worker;
      BestCost = Cost;
      BestWait = Wait;
    }
    Duration RunTime = runTime(*Best, Job);
    Duration ExtraRunTime =
        std::max(RunTime - Job.m_NominalRunTime, Duration::zero());
    Plan.m_Tasks.push_back({Best->m_Agent, ExtraRunTime});
    Plan.m_LongestWait = std::max(Plan.m_LongestWait, BestWait);
    Plan.m_SlackUse =
        std::max(Plan.m_SlackUse, slackUse(BestWait, ExtraRunTime, Job));
    Plan.m_FinishWithin = std::max(Plan.m_FinishWithin, BestWait + RunTime);
    assignTask(*Best, Job, Job.m_OrderWithin);
  }
  return Plan;
}

} // namespace

Duration forecastResourceWait(const Resources &Capacity, Duration MeanRemaining,
                              std::int64_t MissingMilliCores) {
  double Missing = std::max(0.0, static_cast<double>(MissingMilliCores));
  double Total = std::max(1.0, static_cast<double>(Capacity.m_MilliCores));
  // Assumes that running tasks release their cores at a constant rate over
  // twice their mean remaining time.
  return scaled(MeanRemaining * 2, Missing / Total);
}

Duration forecastWait(const PlacementWorker &Worker, const PlacementJob &Job) {
  WorkAhead Ahead;
  for (const WaitingWork &Waiting : Worker.m_Waiting) {
    if (Waiting.m_OrderWithin > Job.m_OrderWithin)
      continue;
    if (Ahead.m_MilliCores == 0)
      Ahead.m_First.m_MilliCores = Waiting.m_MilliCores;
    Ahead.m_MilliCores += Waiting.m_MilliCores;
  }
  if (!Worker.m_ExpectedEnds.empty())
    return forecastWaitByEnds({Worker.m_Capacity, Worker.m_Free,
                               Worker.m_ExpectedEnds, Worker.m_MeanRemaining},
                              {Job.m_Required, runTime(Worker, Job)}, Ahead);
  if (Ahead.m_MilliCores == 0 && Worker.m_Free.canFit(Job.m_Required))
    return Duration::zero();
  std::int64_t FreeMilliCores =
      std::max<std::int64_t>(0, Worker.m_Free.m_MilliCores);
  return forecastResourceWait(Worker.m_Capacity, Worker.m_MeanRemaining,
                              Ahead.m_MilliCores + Job.m_Required.m_MilliCores -
                                  FreeMilliCores);
}

void assignTask(PlacementWorker &Worker, const PlacementJob &Job,
                Duration OrderWithin) {
  bool MayStart = Worker.m_ExpectedEnds.empty() ||
                  forecastWait(Worker, Job) <= Duration::zero();
  if (MayStart && Worker.m_Free.canFit(Job.m_Required)) {
    Worker.m_Free -= Job.m_Required;
    return;
  }
  Worker.m_Waiting.push_back({OrderWithin, Job.m_Required.m_MilliCores});
}

PlacementPlan placeByEarliestFinish(std::vector<PlacementWorker> Workers,
                                    const PlacementJob &Job) {
  return placeByLowestCost(
      std::move(Workers), Job,
      [&Job](const PlacementWorker &Worker, Duration Wait) {
        return scaled(Wait, WaitWeightFactor) + runTime(Worker, Job) +
               scaled(UtilizationTieBreak, coreUtilization(Worker)) +
               Worker.m_CostJitter;
      });
}

PlacementPlan placeByLeastLoad(std::vector<PlacementWorker> Workers,
                               const PlacementJob &Job) {
  return placeByLowestCost(std::move(Workers), Job,
                           [](const PlacementWorker &Worker, Duration) {
                             return scaled(seconds(1), coreUtilization(Worker));
                           });
}

bool admitWithinObjective(const ObjectiveView &View) {
  double MaxSlackUse = std::max(MinPrioritySlackRatio,
                                HighestPrioritySlackRatio -
                                    PrioritySlackRatioStep * View.m_Priority);
  // The square root reduces the slack of the highest priority less.
  MaxSlackUse *=
      View.m_Priority == 0 ? std::sqrt(View.m_SlackRatio) : View.m_SlackRatio;
  return View.m_SlackUse <= MaxSlackUse && canMeetDeadline(View);
}

bool canMeetDeadline(const ObjectiveView &View) {
  bool IsIdle = View.m_CoreUtilization < MaxIdleUtilization;
  Duration RunTime =
      scaled(View.m_ExpectedRunTime,
             IsIdle ? OptimisticRunTimeRatio : LikelyRunTimeRatio);
  return View.m_LongestWait + RunTime <= View.m_Remaining;
}

Duration orderByStartAndPriority(Duration StartWithin, std::uint32_t Priority) {
  return StartWithin + PriorityStep * Priority;
}

Duration orderByStart(Duration StartWithin, std::uint32_t) {
  return StartWithin;
}

SlackControl makeAdaptiveSlack() {
  return [Ratio = 1.0](bool WasLate) mutable {
    Ratio = WasLate ? Ratio * LateStartFactor : Ratio + TimelyStartStep;
    Ratio = std::clamp(Ratio, MinAdaptiveSlackRatio, 1.0);
    return Ratio;
  };
}

SlackControl makeFullSlack() {
  return [](bool) { return 1.0; };
}

bool admitAlways(const ObjectiveView &) { return true; }

} // namespace cyclamenwalk
