// The use of a server that leaves, is cold after its start, or alternates
// between down and up.

#include "core/log.h"
#include "worker/internal/backendsession.h"
#include "worker/internal/departure.h"

#include <algorithm>

namespace cyclamenwalk {

void BackendSession::updateAvailability(
    const BackendAnnouncement &Announcement) {
  TimePoint Now = m_Timers.now();
  if (Announcement.m_IsLeaving && Announcement.m_Remaining)
    m_EndsAt = Now + *Announcement.m_Remaining;
  updateColdRamp(Announcement.m_ColdRemaining);
  if (Announcement.m_IsLeaving)
    leave();
  moveRunsThatCannotEnd();
}

void BackendSession::updateColdRamp(Duration Remaining) {
  TimePoint Now = m_Timers.now();
  m_Ramp.update(Remaining, Now);
  bool IsCold = m_Ramp.isCold(Now);
  if (IsCold == m_IsCold)
    return;
  m_IsCold = IsCold;
  // The speed of the cold server says nothing about the warm one.
  if (!IsCold)
    m_Slowness.forgetEnds();
  logEvent(
      LogLevel::Info, IsCold ? "backend.cold" : "backend.warm",
      {{"instance", announcement().m_Instance},
       {"cold_ms", toMilliseconds(Remaining)},
       {"usable_millicores", m_Ramp.usableMilliCores(m_Runs.capacity(), Now)},
       {"runs", m_Runs.size()}});
}

/// Stops the runs that a leaving server takes with it, so that their tasks can
/// run at another worker. The entry places them when they have ended.
void BackendSession::moveRunsThatCannotEnd() {
  if (!m_EndsAt || m_Context.m_State != SessionState::Leaving)
    return;
  TimePoint Now = m_Timers.now();
  for (const RunPointer &Candidate : m_Runs.runs()) {
    if (Candidate->m_State != RunState::Running)
      continue;
    DepartingRun Forecast =
        forecastDeparture(*Candidate, *m_EndsAt, m_Slowness.mean(), Now);
    if (!shouldMove(Forecast))
      continue;
    m_Metrics.count(Metric::RunsMoved);
    logEvent(LogLevel::Info, "run.moved",
             {{"task", Candidate->m_Id.m_Task},
              {"run", Candidate->m_Id.m_Run},
              {"elapsed_ms", toMilliseconds(Now - Candidate->m_StartedAt)},
              {"progress_percent", Candidate->m_ProgressPercent},
              {"remaining_run_ms", toMilliseconds(Forecast.m_MinRemaining)},
              {"server_ms", toMilliseconds(Forecast.m_ServerTime)},
              {"until_deadline_ms", toMilliseconds(Forecast.m_UntilDeadline)}});
    fireRun(Candidate, RunEvent::Stop, "server_leaving");
  }
}

/// While the server is cold, runs use a part of its cores; one run may always
/// start.
bool BackendSession::fitsRamp(const PlacedJob &Job) const {
  if (!m_IsCold || m_Runs.activeCount() == 0)
    return true;
  return usableFree().m_MilliCores >= Job.m_Required.m_MilliCores;
}

Resources BackendSession::usableFree() const {
  Resources Free = m_Runs.free();
  if (!m_IsCold)
    return Free;
  const Resources &Capacity = m_Runs.capacity();
  Free.m_MilliCores -=
      Capacity.m_MilliCores - m_Ramp.usableMilliCores(Capacity, m_Timers.now());
  return Free;
}

void BackendSession::pauseAfterLosses(Duration Pause) {
  m_Health.recordLosses(Pause);
}

} // namespace cyclamenwalk
