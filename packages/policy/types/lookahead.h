#ifndef CYCLAMENWALK_POLICY_TYPES_LOOKAHEAD_H
#define CYCLAMENWALK_POLICY_TYPES_LOOKAHEAD_H

#include "core/types/resources.h"
#include "core/types/time.h"
#include "message/types/placement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamenwalk {

/// What is known of a run in progress.
struct RunEstimate {
  /// Expected run time, corrected by the learned speed of the server.
  Duration m_Expected{};
  Duration m_Elapsed{};
  std::uint32_t m_ProgressPercent = 0;
  /// Elapsed time when the progress was listed.
  Duration m_ElapsedAtProgress{};
};

/// Expected time until the run ends. A run that exceeds its expected time is
/// expected to end the later the longer it has exceeded it, because the
/// estimate was wrong or the run is one of the few very long ones.
Duration expectedRemaining(const RunEstimate &Estimate);

/// The resources of a worker now and at later times.
struct ResourceForecast {
  Resources m_Capacity;
  Resources m_Free;
  /// Sorted by time.
  const std::vector<ExpectedEnd> &m_Ends;
  /// For what is needed beyond m_Ends.
  Duration m_MeanRemaining{};
};

/// What one task needs.
struct ResourceDemand {
  Resources m_Required;
  Duration m_RunTime{};
};

/// Time until \p Required fits into the free resources if nothing else starts;
/// empty if the listed ends do not free enough.
std::optional<Duration> timeUntilFit(const ResourceForecast &Forecast,
                                     const Resources &Required);

/// The free resources at \p Within if nothing else starts.
Resources freeWithin(const ResourceForecast &Forecast, Duration Within);

/// Whether a task can start now without delaying an earlier one that will take
/// \p Reserved at \p ReservedWithin: it ends before, with a margin for the
/// error of the estimate, or fits beside it.
bool canBackfill(const ResourceForecast &Forecast, const ResourceDemand &Demand,
                 const Resources &Reserved, Duration ReservedWithin);

/// Waiting tasks that start before another one.
struct WorkAhead {
  /// Cores required by all of them, in thousandths.
  std::int64_t m_MilliCores = 0;
  /// Required by the first one, which has a reservation.
  Resources m_First;
};

/// Expected wait of a task.
Duration forecastWaitByEnds(const ResourceForecast &Forecast,
                            const ResourceDemand &Demand,
                            const WorkAhead &Ahead);

/// Greatest number of ends in a report.
inline constexpr std::size_t MaxReportedEnds = 6;

/// Merges ends into at most MaxReportedEnds steps that grow with the time to
/// the end, and drops later ones. A step has the time of its last end.
std::vector<ExpectedEnd> mergeEnds(std::vector<ExpectedEnd> Ends);

/// Moves ends that were reported \p Age ago to the present. Those that were due
/// before are expected now: they have happened, or a report will move them.
void advanceEnds(std::vector<ExpectedEnd> &Ends, Duration Age);

/// Whether forecasts from a report that was sent \p Age ago are wrong because
/// resources become free at other times. False if neither lists ends.
bool haveEndsMoved(const WorkerReport &Reported, Duration Age,
                   const WorkerReport &Current);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_LOOKAHEAD_H
