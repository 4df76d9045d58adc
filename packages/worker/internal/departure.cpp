#include "worker/internal/departure.h"

#include "worker/internal/runprogress.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// The ratio of its expected run time in which a run can end, as estimates are
/// often too high.
constexpr double OptimisticRunTimeRatio = 0.6;
/// From the stop order until the task starts elsewhere.
constexpr Duration MoveTime = milliseconds(100);
/// A heartbeat is this old when the agent learns of it.
constexpr Duration AnnouncementDelay = milliseconds(30);

} // namespace

DepartingRun forecastDeparture(const Run &Running, TimePoint ServerEndsAt,
                               double Slowness, TimePoint Now) {
  DepartingRun Forecast;
  Forecast.m_ServerTime = ServerEndsAt - AnnouncementDelay - Now;
  Forecast.m_UntilDeadline = Running.m_Job->m_DeadlineAt - Now;
  Duration Elapsed = Now - Running.m_StartedAt;
  Duration ByProgress = forecastRemaining(Running, Now);
  if (ByProgress > Duration::zero()) {
    Forecast.m_MinRemaining = ByProgress;
    Forecast.m_RunTime = Elapsed + ByProgress;
    return Forecast;
  }
  Forecast.m_RunTime = scaled(Running.m_Job->m_ExpectedRunTime, Slowness);
  Forecast.m_MinRemaining =
      std::max(scaled(Forecast.m_RunTime, OptimisticRunTimeRatio) - Elapsed,
               Duration::zero());
  return Forecast;
}

bool shouldMove(const DepartingRun &Candidate) {
  // A server that stays longer than stated may end at any time; nothing is
  // known about which of its runs end before.
  bool IsTimeKnown = Candidate.m_ServerTime > Duration::zero();
  bool CanEndHere = Candidate.m_MinRemaining <= Candidate.m_ServerTime;
  bool CanEndElsewhere =
      MoveTime + Candidate.m_RunTime <= Candidate.m_UntilDeadline;
  return IsTimeKnown && !CanEndHere && CanEndElsewhere;
}

} // namespace cyclamenwalk
