#include "policy/types/lookahead.h"

#include "policy/types/placement.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>

namespace cyclamenwalk {

namespace {

/// From this progress on, in percent, the run time is extrapolated from the
/// progress and not taken from the estimate.
constexpr std::uint32_t MinTrustedProgress = 10;
constexpr std::uint32_t FullProgress = 100;
/// Share of its expected time that a run needs beyond it, at least.
constexpr double OverdueFactor = 0.3;
/// A task counts as ending in time if it does so even when it takes longer than
/// expected by this factor.
constexpr double RunTimeMargin = 1.3;
/// Ends up to this time are merged into the first step; each further step
/// reaches twice as far.
constexpr Duration FirstStep = milliseconds(20);
/// Entries are told of ends that have moved when the cores expected to be free
/// at one of these times differ by more than this part of the capacity.
constexpr Duration ComparedTimes[] = {milliseconds(40), milliseconds(160)};
constexpr std::int64_t MoveDivisor = 8;

/// Weight of ends that are earlier than the mean suggests. Single ends are
/// uncertain, and the server with the earliest one is chosen from many, so that
/// the ends alone would promise starts that are late.
constexpr double EarlyEndWeight = 0.25;

/// Index of the step to which an end belongs.
std::size_t stepOf(Duration Within) {
  std::size_t Step = 0;
  for (Duration Limit = FirstStep; Within > Limit && Step < MaxReportedEnds;
       Limit *= 2)
    ++Step;
  return Step;
}

std::int64_t freeMilliCores(const WorkerReport &Report, Duration Within) {
  return freeWithin(
             {Report.m_Capacity, Report.m_Free, Report.m_ExpectedEnds, {}},
             Within)
      .m_MilliCores;
}

/// Time until \p Required fits, extrapolated beyond the listed ends.
Duration extrapolatedFit(const ResourceForecast &Forecast,
                         const Resources &Required) {
  if (auto Within = timeUntilFit(Forecast, Required))
    return *Within;
  Duration Last = Forecast.m_Ends.empty() ? Duration::zero()
                                          : Forecast.m_Ends.back().m_Within;
  Resources Free = freeWithin(Forecast, Last);
  std::int64_t Missing = Required.m_MilliCores - Free.m_MilliCores;
  // Reports do not tell when other resources become free later.
  if (Missing <= 0)
    return Last + Forecast.m_MeanRemaining;
  return Last + forecastResourceWait(Forecast.m_Capacity,
                                     Forecast.m_MeanRemaining, Missing);
}

} // namespace

Duration expectedRemaining(const RunEstimate &Estimate) {
  Duration Expected = Estimate.m_Expected;
  if (Estimate.m_ProgressPercent >= MinTrustedProgress)
    Expected = Estimate.m_ElapsedAtProgress * FullProgress /
               Estimate.m_ProgressPercent;
  Duration Overdue = Estimate.m_Elapsed - Expected;
  return std::max(-Overdue, scaled(Expected, OverdueFactor) + Overdue);
}

std::optional<Duration> timeUntilFit(const ResourceForecast &Forecast,
                                     const Resources &Required) {
  Resources Free = Forecast.m_Free;
  if (Free.canFit(Required))
    return Duration::zero();
  for (const ExpectedEnd &End : Forecast.m_Ends) {
    Free += End.m_Freed;
    if (Free.canFit(Required))
      return std::max(End.m_Within, Duration::zero());
  }
  return std::nullopt;
}

Resources freeWithin(const ResourceForecast &Forecast, Duration Within) {
  Resources Free = Forecast.m_Free;
  for (const ExpectedEnd &End : Forecast.m_Ends)
    if (End.m_Within <= Within)
      Free += End.m_Freed;
  return Free;
}

bool canBackfill(const ResourceForecast &Forecast, const ResourceDemand &Demand,
                 const Resources &Reserved, Duration ReservedWithin) {
  if (!Forecast.m_Free.canFit(Demand.m_Required))
    return false;
  if (scaled(Demand.m_RunTime, RunTimeMargin) <= ReservedWithin)
    return true;
  Resources Spare = freeWithin(Forecast, ReservedWithin) - Reserved;
  return Spare.canFit(Demand.m_Required);
}

Duration forecastWaitByEnds(const ResourceForecast &Forecast,
                            const ResourceDemand &Demand,
                            const WorkAhead &Ahead) {
  if (Ahead.m_MilliCores > 0 &&
      canBackfill(Forecast, Demand, Ahead.m_First,
                  extrapolatedFit(Forecast, Ahead.m_First)))
    return Duration::zero();
  Resources Needed = Demand.m_Required + Resources{Ahead.m_MilliCores, 0, 0};
  if (Forecast.m_Free.canFit(Needed))
    return Duration::zero();
  std::int64_t FreeMilliCores =
      std::max<std::int64_t>(0, Forecast.m_Free.m_MilliCores);
  Duration ByMean =
      forecastResourceWait(Forecast.m_Capacity, Forecast.m_MeanRemaining,
                           Needed.m_MilliCores - FreeMilliCores);
  Duration ByEnds = extrapolatedFit(Forecast, Needed);
  return ByEnds >= ByMean ? ByEnds
                          : ByMean - scaled(ByMean - ByEnds, EarlyEndWeight);
}

std::vector<ExpectedEnd> mergeEnds(std::vector<ExpectedEnd> Ends) {
  std::sort(Ends.begin(), Ends.end(), [](const auto &Left, const auto &Right) {
    return Left.m_Within < Right.m_Within;
  });
  std::vector<ExpectedEnd> Steps;
  std::size_t LastStep = MaxReportedEnds;
  for (const ExpectedEnd &End : Ends) {
    std::size_t Step = stepOf(End.m_Within);
    if (Step == MaxReportedEnds)
      break;
    // Whole milliseconds, rounded up, take fewer bytes.
    Duration Within = std::chrono::ceil<milliseconds>(End.m_Within);
    if (Step == LastStep) {
      Steps.back().m_Within = Within;
      Steps.back().m_Freed += End.m_Freed;
    } else {
      Steps.push_back({Within, End.m_Freed});
    }
    LastStep = Step;
  }
  return Steps;
}

void advanceEnds(std::vector<ExpectedEnd> &Ends, Duration Age) {
  for (ExpectedEnd &End : Ends)
    End.m_Within = std::max(End.m_Within - Age, Duration::zero());
}

bool haveEndsMoved(const WorkerReport &Reported, Duration Age,
                   const WorkerReport &Current) {
  if (Reported.m_ExpectedEnds.empty() != Current.m_ExpectedEnds.empty())
    return true;
  if (Current.m_ExpectedEnds.empty())
    return false;
  std::int64_t MaxDifference = Current.m_Capacity.m_MilliCores / MoveDivisor;
  return std::any_of(
      std::begin(ComparedTimes), std::end(ComparedTimes), [&](Duration Within) {
        auto Difference = freeMilliCores(Reported, Within + Age) -
                          freeMilliCores(Current, Within);
        return std::abs(Difference) > MaxDifference;
      });
}

} // namespace cyclamenwalk
