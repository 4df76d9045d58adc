// The part of WorkerService that tells entries of results and resources.

#include "policy/types/lookahead.h"
#include "worker/internal/workerservice.h"

#include <algorithm>
#include <cstdlib>

namespace cyclamenwalk {

namespace {

/// Minimum change of the free cores that is reported before the regular period,
/// in percent of the capacity. Below ScarcePercent a smaller change matters.
constexpr std::int64_t MinChangePercent = 12;
constexpr std::int64_t MinScarceChangePercent = 5;
constexpr std::int64_t ScarcePercent = 25;
constexpr std::int64_t FullPercent = 100;

bool hasAvailabilityChanged(const WorkerReport &Last,
                            const WorkerReport &Current) {
  return Last.m_IsAccepting != Current.m_IsAccepting ||
         Last.m_Capacity != Current.m_Capacity;
}

/// \p Age: since \p Last was sent.
bool isSignificantChange(const WorkerReport &Last, Duration Age,
                         const WorkerReport &Current) {
  if (hasAvailabilityChanged(Last, Current) ||
      Last.m_Waiting.size() != Current.m_Waiting.size() ||
      haveEndsMoved(Last, Age, Current))
    return true;
  std::int64_t Capacity =
      std::max<std::int64_t>(1, Current.m_Capacity.m_MilliCores);
  std::int64_t FreePercent =
      Current.m_Free.m_MilliCores * FullPercent / Capacity;
  std::int64_t LastFreePercent =
      Last.m_Free.m_MilliCores * FullPercent / Capacity;
  std::int64_t MinChange =
      std::min(FreePercent, LastFreePercent) < ScarcePercent
          ? MinScarceChangePercent
          : MinChangePercent;
  return std::abs(FreePercent - LastFreePercent) >= MinChange;
}

} // namespace

void WorkerService::recordResult(const Run &Ended) {
  auto Owner = m_Entries.find(Ended.m_Job->m_Entry);
  if (Owner == m_Entries.end())
    return;
  bool HasStarted = Ended.m_StartedAt != TimePoint{};
  TimePoint StartedAt = HasStarted ? Ended.m_StartedAt : m_Timers.now();
  Owner->second.m_RunResults.push_back(
      {Ended.m_Job->m_Job, Ended.m_Task.m_Index, Ended.m_Task.m_Run,
       Ended.m_RunOutcome, m_Timers.now() - StartedAt,
       Ended.m_Job->m_StartBy - StartedAt});
  scheduleReports(Duration::zero());
}

void WorkerService::reportDeadlineMiss(const Run &Late) {
  m_Dependencies.m_Links.send(Late.m_Job->m_Entry,
                              DeadlineMissForecast{Late.m_Job->m_Job,
                                                   Late.m_Task.m_Index,
                                                   Late.m_Task.m_Run});
}

void WorkerService::recordChange() {
  for (auto &Item : m_Entries)
    Item.second.m_HasUnreportedChange = true;
  scheduleReports(m_Settings.m_ReportDelay);
}

void WorkerService::scheduleReports(Duration Delay) {
  TimePoint DueAt = m_Timers.now() + Delay;
  if (m_ReportTimer != 0 && m_ReportDueAt <= DueAt)
    return;
  m_Timers.cancel(m_ReportTimer);
  m_ReportDueAt = DueAt;
  m_ReportTimer = m_Timers.subscribe(Delay, [this] {
    m_ReportTimer = 0;
    sendReports();
  });
}

void WorkerService::sendReports() {
  WorkerReport Report;
  if (SessionPointer Session = currentSession())
    Report = Session->report();
  Report.m_IsAccepting =
      Report.m_IsAccepting && !m_IsDraining && !isEvacuated();
  Duration Delay = Duration::max();
  for (auto &Item : m_Entries) {
    sendReportIfDue(Item.first, Item.second, Report);
    if (Item.second.m_HasUnreportedChange && !Item.second.m_IsWithdrawn)
      Delay = std::min(Delay, timeToNextReport(Item.second, Report));
  }
  if (Delay != Duration::max())
    scheduleReports(std::max(Delay, m_Settings.m_ReportDelay));
}

Duration WorkerService::timeToNextReport(const LinkedEntry &Entry,
                                         const WorkerReport &Report) const {
  Duration Age = m_Timers.now() - Entry.m_LastReportAt;
  Duration Period = isSignificantChange(Entry.m_LastReport, Age, Report)
                        ? Entry.m_ReportInterval
                        : m_Settings.m_MaxReportPeriod;
  return Entry.m_LastReportAt + Period - m_Timers.now();
}

void WorkerService::sendReportIfDue(Incarnation Id, LinkedEntry &Entry,
                                    WorkerReport Report) {
  Report.m_IsAccepting = Report.m_IsAccepting && !Entry.m_IsWithdrawn;
  Duration SinceReport = m_Timers.now() - Entry.m_LastReportAt;
  bool IsPeriodOver =
      SinceReport >= m_Settings.m_MaxReportPeriod ||
      hasAvailabilityChanged(Entry.m_LastReport, Report) ||
      (SinceReport >= Entry.m_ReportInterval &&
       isSignificantChange(Entry.m_LastReport, SinceReport, Report));
  bool IsNeeded = !Entry.m_IsWithdrawn || Entry.m_LastReport.m_IsAccepting;
  bool IsReportDue = Entry.m_HasUnreportedChange && IsPeriodOver && IsNeeded;
  if (Entry.m_RunResults.empty() && !IsReportDue)
    return;
  Entry.m_HasUnreportedChange = false;
  Entry.m_LastReport = Report;
  Entry.m_LastReportAt = m_Timers.now();
  WorkerReport SentReport = Report;
  SentReport.m_PlacementsSeen = Entry.m_PlacementsSeen;
  if (Entry.m_RunResults.empty()) {
    m_Dependencies.m_Links.send(Id, std::move(SentReport));
    return;
  }
  RunResults Body{std::move(Entry.m_RunResults), std::move(SentReport)};
  Entry.m_RunResults.clear();
  m_Dependencies.m_Links.send(Id, std::move(Body));
}

} // namespace cyclamenwalk
