#include "worker/internal/workerservice.h"

#include "core/log.h"

#include <algorithm>
#include <cstdlib>

namespace cyclamenwalk {

namespace {

/// Changes of free room that entries are told of at once, percent of the
/// capacity: small ones matter only while little is free.
constexpr std::int64_t LargeChange = 12;
constexpr std::int64_t SmallChange = 5;
constexpr std::int64_t LittleFree = 25;
constexpr std::int64_t WholePercent = 100;

/// Whether the worker takes tasks now and did not, or the reverse.
bool hasFlipped(const WorkerReport &Told, const WorkerReport &Now) {
  return Told.m_IsAccepting != Now.m_IsAccepting ||
         Told.m_Capacity != Now.m_Capacity;
}

bool isNews(const WorkerReport &Told, const WorkerReport &Now) {
  if (hasFlipped(Told, Now) || Told.m_Waiting.size() != Now.m_Waiting.size())
    return true;
  std::int64_t Capacity =
      std::max<std::int64_t>(1, Now.m_Capacity.m_MilliCores);
  std::int64_t Free = Now.m_Free.m_MilliCores * WholePercent / Capacity;
  std::int64_t Before = Told.m_Free.m_MilliCores * WholePercent / Capacity;
  std::int64_t Limit =
      std::min(Free, Before) < LittleFree ? SmallChange : LargeChange;
  return std::abs(Free - Before) >= Limit;
}

} // namespace

WorkerService::WorkerService(WorkerSettings Settings, WorkerDependencies Needs)
    : m_Settings(Settings), m_Needs(std::move(Needs)),
      m_Timers(m_Needs.m_Timers) {
  m_OverdueTimer = m_Timers.subscribeEvery(m_Settings.m_OverduePeriod,
                                           [this] { checkOverdue(); });
}

WorkerService::~WorkerService() {
  m_Timers.cancel(m_FlushTimer);
  m_Timers.cancel(m_OverdueTimer);
}

WorkerService::SessionPointer
WorkerService::findSession(const std::string &Instance) const {
  for (const SessionPointer &Known : m_Sessions)
    if (Known->said().m_Instance == Instance)
      return Known;
  return nullptr;
}

WorkerService::SessionPointer WorkerService::current() const {
  for (auto It = m_Sessions.rbegin(); It != m_Sessions.rend(); ++It)
    if ((*It)->isServing())
      return *It;
  return m_Sessions.empty() ? nullptr : m_Sessions.back();
}

void WorkerService::announce(const BackendAnnouncement &Said) {
  SessionPointer Known = findSession(Said.m_Instance);
  if (!Known)
    return openSession(Said);
  Duration Before = Known->said().m_BornAt;
  bool IsEarlier = Said.m_BornAt < Before;
  if (IsEarlier)
    return;
  bool IsReborn = Said.m_BornAt > Before;
  if (!IsReborn) {
    Known->renew(Said);
    dropGone();
    return;
  }
  Known->lose("its name is used by a later life");
  openSession(Said);
}

void WorkerService::openSession(const BackendAnnouncement &Said) {
  dropGone();
  // One that is leaving when it is first heard of gets no work.
  if (Said.m_IsLeaving)
    return;
  m_Sessions.push_back(std::make_shared<BackendSession>(
      Said, m_Settings, m_Needs,
      BackendSession::Hooks{[this](const Run &Ended) { noteEnd(Ended); },
                            [this] { noteChange(); },
                            [this](const Run &Late) { noteHopeless(Late); }}));
}

void WorkerService::dropGone() {
  std::erase_if(m_Sessions,
                [](const SessionPointer &Known) { return Known->isGone(); });
}

void WorkerService::withdraw(const std::string &Instance) {
  if (SessionPointer Known = findSession(Instance)) {
    Known->lose("it has signed off");
    dropGone();
  }
}

void WorkerService::drain() {
  m_IsDraining = true;
  noteChange();
}

void WorkerService::entryUp(const Peer &Entry) {
  m_Entries[Entry.m_Incarnation] = {};
  noteChange();
}

void WorkerService::entryDown(const Peer &Entry) {
  m_Entries.erase(Entry.m_Incarnation);
  for (const SessionPointer &Known : std::vector(m_Sessions))
    Known->stopRuns([&Entry](const Run &Placed) {
      return Placed.m_Job->m_Entry == Entry.m_Incarnation;
    });
}

void WorkerService::receive(Incarnation Entry, Message &Body) {
  if (auto *Placed = std::get_if<PlaceTasks>(&Body))
    receivePlacement(Entry, *Placed);
  else if (auto *Stop = std::get_if<StopJob>(&Body))
    stopJob(Stop->m_Job);
  else if (auto *Pace = std::get_if<ReportInterval>(&Body))
    m_Entries[Entry].m_Pace =
        std::min(Pace->m_Period, m_Settings.m_ReportPeriod);
}

void WorkerService::receivePlacement(Incarnation Entry, PlaceTasks &Body) {
  m_Entries[Entry].m_PlacementsSeen += Body.m_Tasks.size();
  SessionPointer Serving = current();
  bool IsOpen = Serving && Serving->isServing() && !m_IsDraining &&
                Serving->said().m_Service == Body.m_Service;
  if (!IsOpen)
    return refuse(Entry, Body, Body.m_Tasks);
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
  std::vector<PlacedTask> SentBack;
  for (const PlacedTask &Task : Body.m_Tasks) {
    bool IsTaken =
        Serving->takesMore() && Serving->forecastWait(*Job) <= Body.m_MaxWait;
    if (!IsTaken)
      SentBack.push_back(Task);
    else
      Serving->place(Job, Task);
  }
  if (!SentBack.empty())
    refuse(Entry, Body, SentBack);
}

void WorkerService::refuse(Incarnation Entry, const PlaceTasks &Body,
                           const std::vector<PlacedTask> &Tasks) {
  logEvent(LogLevel::Info, "placement.refused",
           {{"job", Body.m_Name},
            {"service", Body.m_Service},
            {"tasks", Tasks.size()},
            {"accepted_wait_ms", toMilliseconds(Body.m_MaxWait)},
            {"draining", m_IsDraining ? "yes" : "no"}});
  for (const PlacedTask &Task : Tasks)
    m_Entries[Entry].m_RunResults.push_back(
        {Body.m_Job, Task.m_Index, Task.m_Run, RunOutcome::NotStarted, {}, {}});
  scheduleFlush(Duration::zero());
}

void WorkerService::stopJob(JobId Job) {
  for (const SessionPointer &Known : std::vector(m_Sessions))
    Known->stopRuns(
        [Job](const Run &Placed) { return Placed.m_Job->m_Job == Job; });
}

void WorkerService::noteEnd(const Run &Ended) {
  auto Owner = m_Entries.find(Ended.m_Job->m_Entry);
  if (Owner == m_Entries.end())
    return;
  bool HasStarted = Ended.m_StartedAt != TimePoint{};
  TimePoint StartedAt = HasStarted ? Ended.m_StartedAt : m_Timers.now();
  Owner->second.m_RunResults.push_back(
      {Ended.m_Job->m_Job, Ended.m_Task.m_Index, Ended.m_Task.m_Run,
       Ended.m_RunOutcome, m_Timers.now() - StartedAt,
       Ended.m_Job->m_StartBy - StartedAt});
  scheduleFlush(Duration::zero());
}

void WorkerService::noteHopeless(const Run &Late) {
  m_Needs.m_Links.send(Late.m_Job->m_Entry,
                       DeadlineMissForecast{Late.m_Job->m_Job,
                                            Late.m_Task.m_Index,
                                            Late.m_Task.m_Run});
}

void WorkerService::noteChange() {
  for (auto &Known : m_Entries)
    Known.second.m_IsBehind = true;
  scheduleFlush(m_Settings.m_ReportDelay);
}

void WorkerService::scheduleFlush(Duration Delay) {
  TimePoint At = m_Timers.now() + Delay;
  if (m_FlushTimer != 0 && m_FlushAt <= At)
    return;
  m_Timers.cancel(m_FlushTimer);
  m_FlushAt = At;
  m_FlushTimer = m_Timers.subscribe(Delay, [this] {
    m_FlushTimer = 0;
    flush();
  });
}

void WorkerService::flush() {
  WorkerReport State;
  if (SessionPointer Known = current())
    State = Known->report();
  State.m_IsAccepting = State.m_IsAccepting && !m_IsDraining;
  Duration Next = Duration::max();
  for (auto &Known : m_Entries) {
    flushTo(Known.first, Known.second, State);
    if (Known.second.m_IsBehind)
      Next = std::min(Next, nextReport(Known.second, State));
  }
  if (Next != Duration::max())
    scheduleFlush(std::max(Next, m_Settings.m_ReportDelay));
}

/// When an entry that is behind has to be told.
Duration WorkerService::nextReport(const LinkedEntry &Known,
                                   const WorkerReport &State) const {
  Duration Period =
      isNews(Known.m_Told, State) ? Known.m_Pace : m_Settings.m_ReportPeriod;
  return Known.m_ToldAt + Period - m_Timers.now();
}

void WorkerService::flushTo(Incarnation Entry, LinkedEntry &Known,
                            const WorkerReport &State) {
  Duration Since = m_Timers.now() - Known.m_ToldAt;
  bool IsDue = Since >= m_Settings.m_ReportPeriod ||
               hasFlipped(Known.m_Told, State) ||
               (Since >= Known.m_Pace && isNews(Known.m_Told, State));
  bool IsNews = Known.m_IsBehind && IsDue;
  if (Known.m_RunResults.empty() && !IsNews)
    return;
  Known.m_IsBehind = false;
  Known.m_Told = State;
  Known.m_ToldAt = m_Timers.now();
  WorkerReport Report = State;
  Report.m_PlacementsSeen = Known.m_PlacementsSeen;
  if (Known.m_RunResults.empty()) {
    m_Needs.m_Links.send(Entry, std::move(Report));
    return;
  }
  RunResults Body{std::move(Known.m_RunResults), std::move(Report)};
  Known.m_RunResults.clear();
  m_Needs.m_Links.send(Entry, std::move(Body));
}

void WorkerService::checkOverdue() {
  SessionPointer Known = current();
  if (Known && Known->hasOverdue())
    noteChange();
}

std::size_t WorkerService::running() const {
  std::size_t Count = 0;
  for (const SessionPointer &Known : m_Sessions)
    Count += Known->running();
  return Count;
}

} // namespace cyclamenwalk
