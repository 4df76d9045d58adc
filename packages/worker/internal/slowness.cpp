#include "worker/internal/slowness.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Weight of one run in the running mean.
constexpr double SlownessWeight = 0.08;
/// A run is overdue from this multiple of its expected time on.
constexpr double OverdueRatio = 2;
/// Weight of the running mean when it is averaged with the overdue runs, as a
/// number of runs.
constexpr double MeanSlownessWeight = 10;

} // namespace

bool Slowness::recordSuccess(const Run &Ended, Duration RunTime) {
  Duration Expected = Ended.m_Job->m_ExpectedRunTime;
  m_Mean += SlownessWeight * (runTimeRatio(RunTime, Expected) - m_Mean);
  return m_Learned.recordEnd(RunTime, Expected);
}

double Slowness::mean() const {
  return m_SeparatesTails ? m_Learned.slowness() : m_Mean;
}

Slowness::OverdueRuns Slowness::overdueRuns(const std::vector<RunPointer> &Runs,
                                            TimePoint Now) const {
  OverdueRuns Found;
  double MinRatio = OverdueRatio * mean();
  for (const RunPointer &Candidate : Runs) {
    if (Candidate->m_State != RunState::Running)
      continue;
    ++Found.m_Running;
    double Ratio = runTimeRatio(Now - Candidate->m_StartedAt,
                                Candidate->m_Job->m_ExpectedRunTime);
    if (Ratio < MinRatio)
      continue;
    ++Found.m_Overdue;
    Found.m_RatioSum += Ratio;
  }
  return Found;
}

double Slowness::current(const std::vector<RunPointer> &Runs,
                         TimePoint Now) const {
  OverdueRuns Found = overdueRuns(Runs, Now);
  auto Overdue = static_cast<double>(Found.m_Overdue);
  if (!m_SeparatesTails)
    return (MeanSlownessWeight * mean() + Found.m_RatioSum) /
           (MeanSlownessWeight + Overdue);
  return hasBecomeSlow(Found.m_Running, Found.m_Overdue)
             ? Found.m_RatioSum / Overdue
             : mean();
}

} // namespace cyclamenwalk
