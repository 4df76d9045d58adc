#include "worker/internal/workerservice.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

WorkerService::WorkerService(WorkerSettings Settings,
                             WorkerDependencies Dependencies)
    : m_Settings(Settings), m_Dependencies(std::move(Dependencies)),
      m_Timers(m_Dependencies.m_Timers),
      m_EvacuationChart(bindEvacuation(m_Dependencies.m_Charts)) {
  m_Evacuation.m_State = m_EvacuationChart.initial();
  m_OverdueTimer = m_Timers.subscribeEvery(m_Settings.m_OverdueReportPeriod,
                                           [this] { checkOverdueRuns(); });
}

WorkerService::~WorkerService() {
  m_Timers.cancel(m_ReportTimer);
  m_Timers.cancel(m_ReplaceTimer);
  m_Timers.cancel(m_OverdueTimer);
}

EvacuationChart WorkerService::bindEvacuation(const IChartSource &Charts) {
  return EvacuationChart(
      Charts.chart("evacuation"), {},
      {{"returnWaitingRuns",
        [this](EvacuationContext &) { returnWaitingRuns(); }},
       {"reportChange", [this](EvacuationContext &) { recordChange(); }}});
}

WorkerService::SessionPointer
WorkerService::findSession(const std::string &Instance) const {
  for (const SessionPointer &Session : m_Sessions)
    if (Session->announcement().m_Instance == Instance)
      return Session;
  return nullptr;
}

/// The latest serving session, or else the latest session.
WorkerService::SessionPointer WorkerService::currentSession() const {
  for (auto It = m_Sessions.rbegin(); It != m_Sessions.rend(); ++It)
    if ((*It)->isServing())
      return *It;
  return m_Sessions.empty() ? nullptr : m_Sessions.back();
}

void WorkerService::announce(const BackendAnnouncement &Announcement) {
  replaceGoneSessions();
  if (SessionPointer Session = findSession(Announcement.m_Instance))
    Session->receiveAnnouncement(Announcement);
  else
    openSession(Announcement);
}

void WorkerService::openSession(const BackendAnnouncement &Announcement) {
  // A server that is already leaving gets no work.
  if (Announcement.m_IsLeaving)
    return;
  // Orders of earlier sessions may still be on their way to the server.
  WorkerDependencies Dependencies = m_Dependencies;
  Dependencies.m_MakeFencingToken = [this] {
    return std::max(m_Dependencies.m_MakeFencingToken(), m_HighestToken + 1);
  };
  m_Sessions.push_back(std::make_shared<BackendSession>(
      Announcement, m_Settings, Dependencies, m_LeaseEndsAt,
      BackendSession::Hooks{
          [this](const Run &Ended) { recordResult(Ended); },
          [this] { handleSessionChange(); },
          [this](const Run &Late) { reportDeadlineMiss(Late); },
          [this](Incarnation Entry) { return runLimit(Entry); },
          [this] { return !isEvacuated(); }}));
  pauseAfterLosses(*m_Sessions.back());
}

/// A server that alternates between down and up would lose its runs each time.
void WorkerService::pauseAfterLosses(BackendSession &Returned) {
  TimePoint Now = m_Timers.now();
  Duration Pause = m_Losses.pause(Now);
  if (!m_Settings.m_PausesAfterLosses || Pause == Duration::zero())
    return;
  m_Dependencies.m_Metrics.count(Metric::FlappingReturns);
  logEvent(LogLevel::Warning, "backend.flapping",
           {{"instance", Returned.announcement().m_Instance},
            {"losses", m_Losses.recentLosses(Now)},
            {"pause_ms", toMilliseconds(Pause)}});
  Returned.pauseAfterLosses(Pause);
}

void WorkerService::handleSessionChange() {
  recordChange();
  bool HasGoneSession = std::any_of(
      m_Sessions.begin(), m_Sessions.end(),
      [](const SessionPointer &Session) { return Session->isGone(); });
  if (!HasGoneSession || m_ReplaceTimer != 0)
    return;
  // The session that has changed is still in use.
  m_ReplaceTimer = m_Timers.subscribe(Duration::zero(), [this] {
    m_ReplaceTimer = 0;
    replaceGoneSessions();
  });
}

/// Opens the sessions whose predecessors are known to have ended.
void WorkerService::replaceGoneSessions() {
  std::vector<BackendAnnouncement> Successors;
  for (const SessionPointer &Session : m_Sessions) {
    if (!Session->isGone())
      continue;
    m_HighestToken = std::max(m_HighestToken, Session->token());
    m_LeaseEndsAt = std::max(m_LeaseEndsAt, Session->leaseEndsAt());
    if (Session->wasLost())
      m_Losses.recordLoss(m_Timers.now());
    if (auto Successor = Session->takeSuccessor())
      Successors.push_back(std::move(*Successor));
  }
  std::erase_if(m_Sessions, [](const SessionPointer &Session) {
    return Session->isGone();
  });
  for (const BackendAnnouncement &Successor : Successors)
    openSession(Successor);
}

void WorkerService::deregister(const std::string &Instance) {
  if (SessionPointer Session = findSession(Instance))
    Session->receiveEvidence(Deregistration{});
}

void WorkerService::drain() {
  m_IsDraining = true;
  recordChange();
}

void WorkerService::setEvacuated(bool IsEvacuated) {
  m_EvacuationChart.fire(m_Evacuation, IsEvacuated ? EvacuationEvent::Evacuate
                                                   : EvacuationEvent::Withdraw);
}

/// Their entries place the tasks in another failure domain.
void WorkerService::returnWaitingRuns() {
  std::size_t Count = 0;
  for (const SessionPointer &Session : std::vector(m_Sessions))
    Count += Session->returnWaitingRuns();
  m_Dependencies.m_Metrics.count(Metric::EvacuationRefusals, Count);
  logEvent(LogLevel::Info, "evacuation.runs_returned",
           {{"returned", Count}, {"in_progress", running()}});
}

void WorkerService::entryUp(const Peer &Entry) {
  m_Entries[Entry.m_Incarnation] = {};
  recordChange();
}

void WorkerService::entryDown(const Peer &Entry) {
  m_Entries.erase(Entry.m_Incarnation);
  stopRuns(Entry.m_Incarnation, "entry_lost", [&Entry](const Run &Placed) {
    return Placed.m_Job->m_Entry == Entry.m_Incarnation;
  });
}

/// Until the server lists their ends, the runs keep the lease from lasting
/// longer than from what was confirmed before the reason to stop them.
void WorkerService::stopRuns(Incarnation Entry, const std::string &Cause,
                             const std::function<bool(const Run &)> &Matches) {
  TimePoint EndBy = runLimit(Entry);
  std::size_t RunCount = 0;
  for (const SessionPointer &Session : std::vector(m_Sessions)) {
    RunCount += Session->limitRuns(Matches, EndBy);
    Session->stopRuns(Matches);
  }
  TimePoint Now = m_Timers.now();
  const ILinks &Links = m_Dependencies.m_Links;
  logEvent(
      LogLevel::Info, "runs.stopped",
      {{"entry", toString(Entry)},
       {"cause", Cause},
       {"runs", RunCount},
       {"confirmed_age_ms",
        toMilliseconds(Now - Links.confirmedAliveAt(Entry))},
       {"callers_age_ms", toMilliseconds(Now - Links.callersAliveAt(Entry))},
       {"end_within_ms", toMilliseconds(EndBy - Now)}});
}

TimePoint WorkerService::runLimit(Incarnation Entry) const {
  return m_Dependencies.m_Links.callersAliveAt(Entry) +
         m_Settings.m_CallerTimeout;
}

void WorkerService::receive(Incarnation Entry, Message &Body) {
  if (auto *Placement = std::get_if<PlaceTasks>(&Body))
    receivePlacement(Entry, *Placement);
  else if (auto *Stop = std::get_if<StopJob>(&Body))
    stopJob(Stop->m_Job);
  else if (auto *Interval = std::get_if<ReportInterval>(&Body))
    m_Entries[Entry].m_ReportInterval =
        std::min(Interval->m_Period, m_Settings.m_MaxReportPeriod);
}

void WorkerService::withdrawFrom(Incarnation Entry) {
  auto It = m_Entries.find(Entry);
  if (It == m_Entries.end())
    return;
  It->second.m_IsWithdrawn = true;
  It->second.m_HasUnreportedChange = true;
  scheduleReports(Duration::zero());
  m_Timers.subscribe(m_Settings.m_WithdrawPeriod,
                     [this, Entry] { disconnectWhenIdle(Entry); });
}

/// Called at least one period after the entry was told, so that no placement is
/// on its way.
void WorkerService::disconnectWhenIdle(Incarnation Entry) {
  auto It = m_Entries.find(Entry);
  if (It == m_Entries.end() || !It->second.m_IsWithdrawn)
    return;
  if (!hasRunsOf(Entry) && It->second.m_RunResults.empty()) {
    logEvent(LogLevel::Info, "entry.released", {{"entry", toString(Entry)}});
    m_Dependencies.m_Links.disconnect(Entry);
    return;
  }
  m_Timers.subscribe(m_Settings.m_WithdrawPeriod,
                     [this, Entry] { disconnectWhenIdle(Entry); });
}

bool WorkerService::hasRunsOf(Incarnation Entry) const {
  return std::any_of(m_Sessions.begin(), m_Sessions.end(),
                     [Entry](const SessionPointer &Session) {
                       return Session->hasRunsOf(Entry);
                     });
}

void WorkerService::receivePlacement(Incarnation Entry, PlaceTasks &Body) {
  m_Entries[Entry].m_PlacementsSeen += Body.m_Tasks.size();
  SessionPointer Session = currentSession();
  if (isEvacuated())
    m_Dependencies.m_Metrics.count(Metric::EvacuationRefusals,
                                   Body.m_Tasks.size());
  bool IsAccepting = Session && Session->isServing() && !m_IsDraining &&
                     !isEvacuated() && !m_Entries[Entry].m_IsWithdrawn &&
                     Session->announcement().m_Service == Body.m_Service;
  if (!IsAccepting)
    return refuseTasks(Entry, Body, Body.m_Tasks);
  auto Job = std::make_shared<PlacedJob>();
  Job->m_Job = Body.m_Job;
  Job->m_Entry = Entry;
  Job->m_Name = Body.m_Name;
  Job->m_Spec = std::move(Body.m_Spec);
  Job->m_Required = Body.m_Required;
  Job->m_ExpectedRunTime = Body.m_ExpectedRunTime;
  Job->m_PlacedAt = m_Timers.now();
  Job->m_DeadlineAt = m_Timers.now() + Body.m_Remaining;
  Job->m_StartBy = m_Timers.now() + Body.m_StartWithin;
  Job->m_OrderKey = m_Timers.now() + Body.m_OrderWithin;
  std::vector<PlacedTask> RefusedTasks;
  for (const PlacedTask &Task : Body.m_Tasks) {
    bool IsAccepted = Session->acceptsMoreRuns() &&
                      Session->forecastWait(*Job) <= Body.m_MaxWait &&
                      Session->placeTask(Job, Task);
    if (!IsAccepted)
      RefusedTasks.push_back(Task);
  }
  if (!RefusedTasks.empty())
    refuseTasks(Entry, Body, RefusedTasks);
}

void WorkerService::refuseTasks(Incarnation Entry, const PlaceTasks &Body,
                                const std::vector<PlacedTask> &Tasks) {
  logEvent(LogLevel::Info, "placement.refused",
           {{"job", Body.m_Name},
            {"service", Body.m_Service},
            {"tasks", Tasks.size()},
            {"max_wait_ms", toMilliseconds(Body.m_MaxWait)},
            {"draining", m_IsDraining ? "yes" : "no"},
            {"evacuated", isEvacuated() ? "yes" : "no"}});
  for (const PlacedTask &Task : Tasks)
    m_Entries[Entry].m_RunResults.push_back(
        {Body.m_Job, Task.m_Index, Task.m_Run, RunOutcome::NotStarted, {}, {}});
  scheduleReports(Duration::zero());
}

void WorkerService::stopJob(JobId Job) {
  stopRuns(Job.m_Entry, "job_stopped",
           [Job](const Run &Placed) { return Placed.m_Job->m_Job == Job; });
}

void WorkerService::checkOverdueRuns() {
  SessionPointer Session = currentSession();
  if (Session && Session->hasOverdueRuns())
    recordChange();
}

std::size_t WorkerService::running() const {
  std::size_t Count = 0;
  for (const SessionPointer &Session : m_Sessions)
    Count += Session->runCount();
  return Count;
}

} // namespace cyclamenwalk
