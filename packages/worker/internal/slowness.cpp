#include "worker/internal/slowness.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Weight of one run in the running mean.
constexpr double SlownessWeight = 0.08;
constexpr double MinRunTimeRatio = 0.2;
constexpr double MaxRunTimeRatio = 8;
/// A run is overdue from this multiple of its expected time on.
constexpr double OverdueRatio = 2;
/// Weight of the running mean when it is averaged with the overdue runs, as a
/// number of runs.
constexpr double MeanSlownessWeight = 10;

double runTimeRatio(Duration Actual, Duration Expected) {
  double Quotient =
      static_cast<double>(Actual.count()) /
      static_cast<double>(std::max<Duration::rep>(1, Expected.count()));
  return std::clamp(Quotient, MinRunTimeRatio, MaxRunTimeRatio);
}

} // namespace

void Slowness::recordSuccess(const Run &Ended, Duration RunTime) {
  double Ratio = runTimeRatio(RunTime, Ended.m_Job->m_ExpectedRunTime);
  m_Mean += SlownessWeight * (Ratio - m_Mean);
}

double Slowness::current(const std::vector<RunPointer> &Runs,
                         TimePoint Now) const {
  double Sum = MeanSlownessWeight * m_Mean;
  double Count = MeanSlownessWeight;
  for (const RunPointer &Candidate : Runs) {
    if (Candidate->m_State != RunState::Running)
      continue;
    double Ratio = runTimeRatio(Now - Candidate->m_StartedAt,
                                Candidate->m_Job->m_ExpectedRunTime);
    if (Ratio < OverdueRatio * m_Mean)
      continue;
    Sum += Ratio;
    ++Count;
  }
  return Sum / Count;
}

} // namespace cyclamenwalk
