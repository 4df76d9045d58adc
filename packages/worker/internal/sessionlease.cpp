// The limits of runs, and the limit of a session's lease that follows from
// them.

#include "core/log.h"
#include "worker/internal/backendsession.h"

#include <algorithm>
#include <utility>

namespace cyclamenwalk {

std::size_t
BackendSession::limitRuns(const std::function<bool(const Run &)> &Matches,
                          TimePoint EndBy) {
  std::size_t Count = 0;
  for (const RunPointer &Candidate : m_Runs.runs()) {
    if (!Matches(*Candidate))
      continue;
    Candidate->m_EndBy = std::min(Candidate->m_EndBy.value_or(EndBy), EndBy);
    ++Count;
  }
  return Count;
}

TimePoint BackendSession::limitOf(const Run &Limited) const {
  return Limited.m_EndBy ? *Limited.m_EndBy
                         : m_Hooks.m_RunLimit(Limited.m_Job->m_Entry);
}

/// The earliest limit of the runs that may be in progress.
TimePoint BackendSession::leaseLimit() {
  TimePoint Limit = TimePoint::max();
  RunPointer First;
  for (const RunPointer &Candidate : m_Runs.runs()) {
    if (!usesResources(*Candidate) || limitOf(*Candidate) >= Limit)
      continue;
    First = Candidate;
    Limit = limitOf(*Candidate);
  }
  bool IsCut = Limit < m_Timers.now() + m_Settings.m_Lease;
  if (std::exchange(m_IsLeaseCut, IsCut) != IsCut)
    logEvent(LogLevel::Info, IsCut ? "lease.cut" : "lease.restored",
             {{"instance", announcement().m_Instance},
              {"entry", First ? toString(First->m_Job->m_Entry) : ""},
              {"task", First ? First->m_Id.m_Task : ""},
              {"lease_ms", toMilliseconds(std::min(Limit - m_Timers.now(),
                                                   m_Settings.m_Lease))},
              {"runs", m_Runs.size()}});
  return Limit;
}

/// A lease is never shortened, so a run must not start under one that may
/// outlast its limit.
bool BackendSession::mayStart(const Run &Waiting) const {
  TimePoint Limit = limitOf(Waiting);
  return Limit >= m_Server.leaseEndsAt() &&
         Limit >= m_Timers.now() + m_Settings.m_Lease / 2;
}

} // namespace cyclamenwalk
