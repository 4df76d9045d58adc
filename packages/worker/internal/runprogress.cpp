#include "worker/internal/runprogress.h"

#include <algorithm>
#include <utility>

namespace cyclamenwalk {

namespace {

constexpr int FullProgress = 100;
/// A run has stalled when it makes no progress for this time, or for this
/// fraction of its expected time if that is longer.
constexpr Duration MinStallTimeout = milliseconds(140);
constexpr int StallTimeoutDivisor = 4;
/// Before this time a run's progress is too coarse for a forecast.
constexpr Duration MinForecastTime = milliseconds(200);

} // namespace

bool updateProgress(Run &Updated, const ActiveRun &Listed, TimePoint Now) {
  Updated.m_ProgressListedAt = Now;
  bool HasIncreased = Listed.m_ProgressPercent > Updated.m_ProgressPercent ||
                      Updated.m_LastProgressAt == TimePoint{};
  bool HasProgressed = Listed.m_ProgressPercent > 0 && HasIncreased;
  if (HasIncreased)
    Updated.m_LastProgressAt = Now;
  Updated.m_ProgressPercent = Listed.m_ProgressPercent;
  return HasProgressed && !std::exchange(Updated.m_HasProgressed, true);
}

bool isStalled(const Run &Candidate) {
  if (Candidate.m_State != RunState::Running ||
      Candidate.m_LastProgressAt == TimePoint{})
    return false;
  Duration Timeout =
      std::max(MinStallTimeout,
               Candidate.m_Job->m_ExpectedRunTime / StallTimeoutDivisor);
  return Candidate.m_ProgressListedAt - Candidate.m_LastProgressAt >= Timeout;
}

Duration forecastRemaining(const Run &Running, TimePoint Now) {
  Duration Elapsed = Now - Running.m_StartedAt;
  // A run without recent progress may succeed at another worker.
  bool IsStalling = Running.m_ProgressPercent == 0 ||
                    Running.m_ProgressListedAt - Running.m_LastProgressAt >=
                        MinStallTimeout / 2;
  if (IsStalling || Elapsed < MinForecastTime)
    return {};
  // Progress is rounded down; assume that the next percent is almost complete.
  return Elapsed * FullProgress / (Running.m_ProgressPercent + 1) - Elapsed;
}

} // namespace cyclamenwalk
