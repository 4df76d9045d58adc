// What a session expects: which run starts next, how long one more run waits,
// and the report on it to the entries.

#include "worker/internal/backendsession.h"

#include <algorithm>
#include <utility>

namespace cyclamenwalk {

namespace {

constexpr double Percent = 100;
/// A server has room while at least this part of its cores is free.
constexpr std::int64_t RoomDivisor = 4;

} // namespace

Duration BackendSession::forecastWait(const PlacedJob &Job) const {
  Duration Wait =
      m_Settings.m_LookAhead
          ? m_Runs.forecastWaitByEnds(Job, m_Timers.now(), slowness())
          : m_Runs.forecastWait(Job, m_Timers.now(), slowness());
  if (fitsRamp(Job))
    return Wait;
  return std::max(Wait, m_Runs.meanRemaining(m_Timers.now(), slowness()));
}

Backfill::Choice BackendSession::nextToStart() {
  auto MayStart = [this](const Run &Waiting) {
    return mayStart(Waiting) && fitsRamp(*Waiting.m_Job);
  };
  TimePoint Now = m_Timers.now();
  if (!m_Settings.m_LookAhead)
    return {m_Runs.nextToStart(Now, MayStart)};
  auto Waiting = m_Runs.waiting(MayStart);
  double Slowness = Waiting.empty() ? 1 : slowness();
  return m_Backfill.next(
      {std::move(Waiting), m_Runs.free(), Now, Slowness,
       [&] { return expectedEnds(m_Runs.runs(), Now, Slowness); }});
}

WorkerReport BackendSession::report() const {
  WorkerReport Report;
  Report.m_Service = announcement().m_Service;
  Report.m_Rack = announcement().m_Rack;
  Report.m_Kind = announcement().m_Kind;
  Report.m_Capacity = m_Runs.capacity();
  Report.m_Free = usableFree();
  bool IsFull = m_Runs.activeCount() >= m_Health.runLimit();
  Report.m_IsAccepting = isServing() && !IsFull;
  double Slowness = slowness();
  Report.m_SlowdownPercent = static_cast<std::uint32_t>(Percent * Slowness);
  Report.m_MeanRemaining = m_Runs.meanRemaining(m_Timers.now(), Slowness);
  Report.m_Waiting = m_Runs.waitingWork(m_Timers.now());
  Report.m_Speed = m_Slowness.learned();
  if (m_Settings.m_LookAhead)
    reportExpectedEnds(Report, Slowness);
  return Report;
}

/// Entries need the ends only of a server with little room.
void BackendSession::reportExpectedEnds(WorkerReport &Report,
                                        double Slowness) const {
  bool HasRoom = Report.m_Waiting.empty() &&
                 Report.m_Free.m_MilliCores >=
                     Report.m_Capacity.m_MilliCores / RoomDivisor;
  if (!HasRoom)
    Report.m_ExpectedEnds =
        mergeEnds(expectedEnds(m_Runs.runs(), m_Timers.now(), Slowness));
}

} // namespace cyclamenwalk
