#include "policy/types/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenwalk {

namespace {

/// Part of the slack that a job of each priority may spend on waiting.
constexpr double FirstPriorityShare = 1.0;
constexpr double ShareLessPerPriority = 0.1;
constexpr double LeastShare = 0.5;
/// Part of its expected run time that a task may well end in, and part that it
/// is likely to need.
constexpr double HopefulPart = 0.4;
constexpr double LikelyPart = 0.75;
constexpr double IdleShare = 0.75;
constexpr Duration PriorityLead = milliseconds(100);
/// The steps of the adaptive slack balance where one start in fifteen is late.
constexpr double SlackDecrease = 0.97;
constexpr double SlackIncrease = 0.001;
constexpr double LeastSlackShare = 0.05;
/// Waiting also delays those that come later, so it counts this many times.
constexpr double WaitWeight = 2;
/// Part of the time to wait that is left on slow workers at least: run times
/// are too uncertain to rule them out.
constexpr double LeastSlackLeft = 0.25;
/// Keeps apart workers that would finish at the same time: the emptier wins.
constexpr Duration LoadTieBreak = milliseconds(10);

double usedShare(const PlacementWorker &Worker) {
  auto Capacity = static_cast<double>(Worker.m_Capacity.m_MilliCores);
  auto Free = static_cast<double>(Worker.m_Free.m_MilliCores);
  return Capacity > 0 ? 1 - Free / Capacity : 1;
}

Duration runTime(const PlacementWorker &Worker, const PlacementJob &Job) {
  bool IsRemote = !Job.m_Rack.empty() && Job.m_Rack != Worker.m_Rack;
  return scaled(Job.m_ExpectedRunTime,
                Worker.m_Slowness * (IsRemote ? Job.m_RemotePenalty : 1));
}

double slackUse(Duration Wait, Duration Excess, const PlacementJob &Job) {
  Duration Least = scaled(Job.m_StartWithin, LeastSlackLeft);
  Duration Left = std::max(Job.m_StartWithin - Excess, Least);
  if (Wait <= Duration::zero())
    return 0;
  return Left > Duration::zero() ? static_cast<double>(Wait.count()) /
                                       static_cast<double>(Left.count())
                                 : std::numeric_limits<double>::infinity();
}

using Score = std::function<Duration(const PlacementWorker &, Duration Wait)>;

PlacementPlan placeByScore(std::vector<PlacementWorker> Workers,
                           const PlacementJob &Job, const Score &Rate) {
  PlacementPlan Plan;
  std::erase_if(Workers, [&Job](const PlacementWorker &Known) {
    return !Known.m_Capacity.holds(Job.m_Required);
  });
  if (Workers.empty())
    return Plan;
  for (std::uint32_t I = 0; I < Job.m_Tasks; ++I) {
    PlacementWorker *Best = nullptr;
    Duration BestScore = Duration::max();
    Duration BestWait{};
    for (PlacementWorker &Known : Workers) {
      Duration Wait = forecastWait(Known, Job);
      Duration Rated = Rate(Known, Wait);
      if (Rated >= BestScore)
        continue;
      Best = &Known;
      BestScore = Rated;
      BestWait = Wait;
    }
    Duration Run = runTime(*Best, Job);
    Duration Excess = std::max(Run - Job.m_NominalRunTime, Duration::zero());
    Plan.m_Tasks.push_back({Best->m_Agent, Excess});
    Plan.m_LongestWait = std::max(Plan.m_LongestWait, BestWait);
    Plan.m_SlackUse =
        std::max(Plan.m_SlackUse, slackUse(BestWait, Excess, Job));
    Plan.m_Finish = std::max(Plan.m_Finish, BestWait + Run);
    countTask(*Best, Job, Job.m_OrderWithin);
  }
  return Plan;
}

} // namespace

Duration forecastRoom(const Resources &Capacity, Duration MeanRemaining,
                      std::int64_t MissingMilliCores) {
  double Missing = std::max(0.0, static_cast<double>(MissingMilliCores));
  double Whole = std::max(1.0, static_cast<double>(Capacity.m_MilliCores));
  // Running tasks free their cores at an even pace over twice their mean
  // remaining time.
  return scaled(MeanRemaining * 2, Missing / Whole);
}

Duration forecastWait(const PlacementWorker &Worker, const PlacementJob &Job) {
  std::int64_t Ahead = 0;
  for (const WaitingWork &Waiting : Worker.m_Waiting)
    if (Waiting.m_OrderWithin <= Job.m_OrderWithin)
      Ahead += Waiting.m_MilliCores;
  if (Ahead == 0 && Worker.m_Free.holds(Job.m_Required))
    return Duration::zero();
  std::int64_t Free = std::max<std::int64_t>(0, Worker.m_Free.m_MilliCores);
  return forecastRoom(Worker.m_Capacity, Worker.m_MeanRemaining,
                      Ahead + Job.m_Required.m_MilliCores - Free);
}

void countTask(PlacementWorker &Worker, const PlacementJob &Job,
               Duration OrderWithin) {
  if (Worker.m_Free.holds(Job.m_Required)) {
    Worker.m_Free -= Job.m_Required;
    return;
  }
  Worker.m_Waiting.push_back({OrderWithin, Job.m_Required.m_MilliCores});
}

PlacementPlan placeByEarliestFinish(std::vector<PlacementWorker> Workers,
                                    const PlacementJob &Job) {
  return placeByScore(std::move(Workers), Job,
                      [&Job](const PlacementWorker &Known, Duration Wait) {
                        return scaled(Wait, WaitWeight) + runTime(Known, Job) +
                               scaled(LoadTieBreak, usedShare(Known)) +
                               Known.m_Bias;
                      });
}

PlacementPlan placeByLeastLoad(std::vector<PlacementWorker> Workers,
                               const PlacementJob &Job) {
  return placeByScore(std::move(Workers), Job,
                      [](const PlacementWorker &Known, Duration) {
                        return scaled(seconds(1), usedShare(Known));
                      });
}

bool admitWithinObjective(const ObjectiveView &View) {
  double Share = std::max(
      LeastShare, FirstPriorityShare - ShareLessPerPriority * View.m_Priority);
  // The first priority gives up waiting last.
  Share *=
      View.m_Priority == 0 ? std::sqrt(View.m_SlackShare) : View.m_SlackShare;
  if (View.m_SlackUse > Share)
    return false;
  bool IsIdle = View.m_UsedShare < IdleShare;
  Duration Needed =
      scaled(View.m_ExpectedRunTime, IsIdle ? HopefulPart : LikelyPart);
  return View.m_LongestWait + Needed <= View.m_Remaining;
}

Duration orderByStartAndPriority(Duration StartWithin, std::uint32_t Priority) {
  return StartWithin + PriorityLead * Priority;
}

Duration orderByStart(Duration StartWithin, std::uint32_t) {
  return StartWithin;
}

SlackControl makeAdaptiveSlack() {
  return [Share = 1.0](bool WasLate) mutable {
    Share = WasLate ? Share * SlackDecrease : Share + SlackIncrease;
    Share = std::clamp(Share, LeastSlackShare, 1.0);
    return Share;
  };
}

SlackControl makeWholeSlack() {
  return [](bool) { return 1.0; };
}

bool admitAlways(const ObjectiveView &) { return true; }

} // namespace cyclamenwalk
