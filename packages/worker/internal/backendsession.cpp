#include "worker/internal/backendsession.h"

#include "worker/internal/runprogress.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace cyclamenwalk {

namespace {

/// A stop order is repeated after this time if the run has not ended.
constexpr Duration StopRepeatPeriod = milliseconds(100);
constexpr std::size_t MaxFailedJobs = 1000;
/// Requests that end runs before their start, as named in the log.
constexpr std::string_view DropRequest = "returned_to_entry";
constexpr std::string_view QueueTimeout = "queue_timeout";
constexpr std::string_view GivenUp = "given_up";
constexpr std::string_view StopRequest = "stop_request";

const char *nameOf(RunOutcome Outcome) {
  switch (Outcome) {
  case RunOutcome::Succeeded:
    return "succeeded";
  case RunOutcome::Failed:
    return "failed";
  case RunOutcome::Stopped:
    return "stopped";
  case RunOutcome::Lapsed:
    return "lapsed";
  case RunOutcome::BackendGone:
    return "backend_gone";
  case RunOutcome::NotStarted:
    return "not_started";
  case RunOutcome::StaleRun:
    return "stale_run";
  case RunOutcome::Count:
    break;
  }
  return "unknown";
}

} // namespace

BackendSession::BackendSession(BackendAnnouncement Announcement,
                               WorkerSettings Settings,
                               const WorkerDependencies &Dependencies,
                               TimePoint LeaseEndsAt, Hooks Callbacks)
    : m_Identity(std::move(Announcement)), m_Settings(Settings),
      m_Timers(Dependencies.m_Timers), m_Metrics(Dependencies.m_Metrics),
      m_Hooks(std::move(Callbacks)),
      m_Chart(bindSession(Dependencies.m_Charts)),
      m_RunChart(bindRun(Dependencies.m_Charts)),
      m_Runs(announcement().m_Capacity),
      m_Backfill(Settings.m_MaxPassedOver, Settings.m_MaxQueueTime, m_Metrics),
      m_Health(announcement().m_Instance, Dependencies.m_MakeFailureTest(),
               Dependencies.m_Charts, m_Timers, [this] { startWaitingRuns(); }),
      m_Server(
          announcement().m_Address, announcement().m_Instance, Settings,
          Dependencies, LeaseEndsAt,
          {[this](const ConfirmedReply &Confirmed) { receiveLists(Confirmed); },
           [this](const ServerEvidence &E) { receiveEvidence(E); },
           [this] { return m_Runs.activeCount() > 0; },
           [this] { return leaseLimit(); }}),
      m_Slowness(Settings.m_SeparatesTails) {
  m_Context.m_State = m_Chart.initial();
  logEvent(LogLevel::Info, "backend.found",
           {{"instance", announcement().m_Instance},
            {"service", announcement().m_Service},
            {"kind", announcement().m_Kind},
            {"rack", announcement().m_Rack},
            {"millicores", announcement().m_Capacity.m_MilliCores},
            {"memory_mb", announcement().m_Capacity.m_MemoryMb},
            {"token", m_Server.token()}});
  updateColdRamp(announcement().m_ColdRemaining);
  m_Server.requestLists();
}

BackendSession::~BackendSession() {
  for (const RunPointer &Unfinished : m_Runs.runs())
    m_Timers.cancel(Unfinished->m_ExpiryTimer);
}

BackendSession::SessionChart
BackendSession::bindSession(const IChartSource &Charts) {
  return SessionChart(
      Charts.chart("session"), {},
      {{"startRenewal", [this](Context &) { m_Server.startRenewal(); }},
       {"stopOrphans", [this](Context &) { stopOrphans(); }},
       {"stopRenewal", [this](Context &) { m_Server.stopRenewal(); }},
       {"adoptNewIncarnation",
        [this](Context &) { m_Server.adoptNewIncarnation(); }},
       {"stopAllRuns", [this](Context &) { stopAllRuns(); }},
       {"dropWaitingRuns", [this](Context &) { dropWaitingRuns(); }},
       {"markRunsLost", [this](Context &) { markRunsLost(); }}});
}

RunChart BackendSession::bindRun(const IChartSource &Charts) {
  return RunChart(
      Charts.chart("run"), {},
      {{"sendStart", [this](Run &R) { sendStart(R); }},
       {"sendStop", [this](Run &R) { sendStop(R); }},
       {"requeueRun", [this](Run &R) { requeueRun(R); }},
       {"fenceStart", [this](Run &R) { m_Server.fenceOrders(R.m_OrderToken); }},
       {"reportOutcome", [this](Run &R) { finishRun(R, R.m_RunOutcome); }},
       {"reportNotStarted",
        [this](Run &R) { finishRun(R, RunOutcome::NotStarted); }},
       {"reportStaleRun",
        [this](Run &R) { finishRun(R, RunOutcome::StaleRun); }},
       {"reportBackendGone",
        [this](Run &R) { finishRun(R, RunOutcome::BackendGone); }}});
}

void BackendSession::fire(SessionEvent Event) {
  SessionState PreviousState = m_Context.m_State;
  m_Chart.fire(m_Context, Event);
  if (PreviousState == m_Context.m_State)
    return;
  bool WasInUse = PreviousState == SessionState::Serving ||
                  PreviousState == SessionState::Unreachable;
  bool IsEnding = m_Context.m_State == SessionState::Closing || isGone();
  m_WasLost = m_WasLost || (WasInUse && IsEnding);
  auto StateIndex = static_cast<std::size_t>(m_Context.m_State);
  logEvent(
      LogLevel::Info, "backend.state_changed",
      {{"instance", announcement().m_Instance},
       {"state", std::string(ChartNames<SessionState>::Values[StateIndex])},
       {"evidence", m_LastEvidence},
       {"runs", m_Runs.size()},
       {"token", m_Server.token()}});
  m_Hooks.m_Changed();
}

void BackendSession::fireRun(const RunPointer &Target, RunEvent Event,
                             std::string_view Evidence) {
  Target->m_EndEvidence = Evidence;
  bool UsedResources = usesResources(*Target);
  m_RunChart.fire(*Target, Event);
  bool UsesResources = usesResources(*Target);
  if (UsesResources && !UsedResources)
    m_Runs.reserveResources(*Target);
  if (UsedResources && !UsesResources)
    m_Runs.releaseResources(*Target);
  if (Target->m_State == RunState::Running &&
      Target->m_StartedAt == TimePoint{})
    Target->m_StartedAt = m_Timers.now();
  if (Target->m_State != RunState::Ended)
    return;
  m_Timers.cancel(Target->m_ExpiryTimer);
  m_Runs.erase(*Target);
  m_Hooks.m_RunEnded(*Target);
}

void BackendSession::receiveAnnouncement(
    const BackendAnnouncement &Announcement) {
  bool IsClosing = m_Context.m_State == SessionState::Closing;
  AnnouncementUse Use = m_Identity.receive(Announcement, m_Runs.size() > 0,
                                           IsClosing, m_Timers.now());
  if (Use == AnnouncementUse::Unconfirmed)
    return confirmIncarnation(Announcement);
  if (Use != AnnouncementUse::Adopted)
    return;
  m_Runs.setCapacity(Announcement.m_Capacity);
  updateAvailability(Announcement);
}

/// Asks the server whether it is the announced incarnation.
void BackendSession::confirmIncarnation(
    const BackendAnnouncement &Announcement) {
  logEvent(LogLevel::Warning, "announcement.other_incarnation",
           {{"instance", Announcement.m_Instance},
            {"service", Announcement.m_Service},
            {"started_at_ms", toMilliseconds(Announcement.m_InstanceStartedAt)},
            {"known_ms", toMilliseconds(m_Identity.startTime())}});
  receiveEvidence(LaterAnnouncement{});
  m_Server.requestLists();
}

void BackendSession::leave() { fire(SessionEvent::Leave); }

void BackendSession::receiveEvidence(const ServerEvidence &Evidence) {
  auto Event = eventFor(m_Identity.known(), Evidence);
  if (!Event || isGone())
    return;
  m_LastEvidence = nameOf(Evidence);
  if (*Event == SessionEvent::BackendLost)
    logEvent(LogLevel::Warning, "backend.lost",
             {{"instance", announcement().m_Instance},
              {"evidence", m_LastEvidence},
              {"runs", m_Runs.size()}});
  fire(*Event);
  endWhenDrained();
}

void BackendSession::receiveEvidence(const RunPointer &About,
                                     const RunEvidence &Evidence) {
  if (auto Event = eventFor(*About, Evidence))
    fireRun(About, *Event, nameOf(Evidence));
}

/// Ends a session that closes once all of its runs are known to have ended.
void BackendSession::endWhenDrained() {
  if (m_Context.m_State == SessionState::Closing && m_Runs.size() == 0)
    fire(SessionEvent::RunsOver);
}

void BackendSession::stopAllRuns() {
  for (const RunPointer &Candidate : m_Runs.runs())
    fireRun(Candidate, RunEvent::Stop, m_LastEvidence);
}

void BackendSession::markRunsLost() {
  m_Server.close();
  for (const RunPointer &Lost : m_Runs.runs())
    fireRun(Lost, RunEvent::BackendLost, m_LastEvidence);
}

/// Returns the waiting runs to their entries; other runs ignore the event.
void BackendSession::dropWaitingRuns() {
  for (const RunPointer &Candidate : m_Runs.runs())
    fireRun(Candidate, RunEvent::Expire, DropRequest);
}

std::size_t BackendSession::returnWaitingRuns() {
  std::size_t Before = m_Runs.size();
  dropWaitingRuns();
  return Before - m_Runs.size();
}

bool BackendSession::placeTask(const std::shared_ptr<const PlacedJob> &Job,
                               PlacedTask Task) {
  std::string Name = Job->m_Name + "." + std::to_string(Task.m_Index);
  if (m_Runs.hasTask(Name)) {
    logEvent(LogLevel::Warning, "run.earlier_not_ended",
             {{"task", Name}, {"run", Task.m_Run}});
    return false;
  }
  auto Added = std::make_shared<Run>();
  Added->m_State = m_RunChart.initial();
  Added->m_Job = Job;
  Added->m_Task = Task;
  Added->m_Id = {std::move(Name), Task.m_Run};
  m_Runs.add(Added);
  m_Runs.enqueue(Added);
  RunId Id = Added->m_Id;
  Added->m_ExpiryTimer = m_Timers.subscribe(m_Settings.m_MaxQueueTime,
                                            [this, Id] { expireRun(Id); });
  startWaitingRuns();
  return true;
}

void BackendSession::expireRun(const RunId &Id) {
  if (RunPointer Expired = m_Runs.find(Id))
    fireRun(Expired, RunEvent::Expire, QueueTimeout);
}

void BackendSession::stopRuns(const std::function<bool(const Run &)> &Matches) {
  for (const RunPointer &Candidate : m_Runs.runs())
    if (Matches(*Candidate))
      fireRun(Candidate, RunEvent::Stop, StopRequest);
  startWaitingRuns();
}

bool BackendSession::hasRunsOf(Incarnation Entry) const {
  auto Runs = m_Runs.runs();
  return std::any_of(Runs.begin(), Runs.end(),
                     [Entry](const RunPointer &Candidate) {
                       return Candidate->m_Job->m_Entry == Entry;
                     });
}

void BackendSession::startWaitingRuns() {
  bool AllowsStarts = isServing() && m_Hooks.m_AllowsStarts();
  while (AllowsStarts && m_Runs.activeCount() < m_Health.runLimit()) {
    auto [Next, IsGivenUp] = nextToStart();
    if (!Next)
      break;
    m_Runs.dequeue(*Next);
    // After a pause of this process the expiry timer may not have fired yet,
    // while the entry may already have given up the run.
    bool IsExpired =
        m_Timers.now() - Next->m_Job->m_PlacedAt >= m_Settings.m_MaxQueueTime;
    fireRun(Next, IsExpired || IsGivenUp ? RunEvent::Expire : RunEvent::Start,
            IsGivenUp ? GivenUp : QueueTimeout);
  }
  // Runs that were queued again meanwhile may start at another worker.
  if (!isServing() || !m_Hooks.m_AllowsStarts())
    dropWaitingRuns();
  m_Hooks.m_Changed();
}

void BackendSession::sendStart(Run &Started) {
  m_Metrics.count(Metric::StartsExecuted);
  std::uint64_t Token = m_Server.token();
  Started.m_OrderToken = Token;
  RunId Id = Started.m_Id;
  TimePoint SentAt = m_Timers.now();
  m_Metrics.observe(Timing::TaskWait, SentAt - Started.m_Job->m_PlacedAt);
  m_Server.start(Id, Started.m_Job->m_Spec,
                 [this, Id, Token, SentAt](const OrderReply &Reply) {
                   m_Metrics.observe(Timing::StartOrder,
                                     m_Timers.now() - SentAt);
                   receiveStartReply(Id, Token, Reply);
                 });
}

void BackendSession::receiveStartReply(const RunId &Id, std::uint64_t Token,
                                       const OrderReply &Reply) {
  RunPointer Started = m_Runs.find(Id);
  bool IsCurrent = Started && Started->m_OrderToken == Token;
  if (Reply.m_Outcome != OrderOutcome::Done)
    logEvent(LogLevel::Warning, "run.start_failed",
             {{"task", Id.m_Task},
              {"run", Id.m_Run},
              {"outcome", nameOf(Reply.m_Outcome)},
              {"token", Token}});
  if (IsCurrent)
    receiveEvidence(Started, StartReplied{Reply.m_Outcome});
  if (Reply.m_Outcome != OrderOutcome::Done)
    startWaitingRuns();
  endWhenDrained();
}

void BackendSession::sendStop(Run &Stopped) {
  TimePoint Now = m_Timers.now();
  bool IsRecentlySent = Stopped.m_StopSentAt != TimePoint{} &&
                        Now - Stopped.m_StopSentAt < StopRepeatPeriod;
  if (IsRecentlySent)
    return;
  Stopped.m_StopSentAt = Now;
  m_Server.stop(Stopped.m_Id);
}

void BackendSession::requeueRun(Run &Waiting) {
  m_Runs.enqueue(m_Runs.find(Waiting.m_Id));
  // The timer may have fired while the run was not waiting.
  m_Timers.cancel(Waiting.m_ExpiryTimer);
  TimePoint ExpiresAt = Waiting.m_Job->m_PlacedAt + m_Settings.m_MaxQueueTime;
  Waiting.m_ExpiryTimer =
      m_Timers.subscribe(std::max(Duration::zero(), ExpiresAt - m_Timers.now()),
                         [this, Id = Waiting.m_Id] { expireRun(Id); });
}

void BackendSession::finishRun(Run &Ended, RunOutcome Outcome) {
  Ended.m_RunOutcome = Outcome;
  Duration RunTime{};
  if (Ended.m_StartedAt != TimePoint{})
    RunTime = m_Timers.now() - Ended.m_StartedAt;
  if (Outcome == RunOutcome::Succeeded &&
      m_Slowness.recordSuccess(Ended, RunTime))
    m_Metrics.count(Metric::TailRuns);
  updateHealth(Ended, Outcome);
  logEvent(LogLevel::Info, "run.ended",
           {{"task", Ended.m_Id.m_Task},
            {"run", Ended.m_Id.m_Run},
            {"outcome", nameOf(Outcome)},
            {"evidence", Ended.m_EndEvidence},
            {"run_ms", toMilliseconds(RunTime)},
            {"waited_ms", toMilliseconds(m_Timers.now() - RunTime -
                                         Ended.m_Job->m_PlacedAt)},
            {"expected_ms", toMilliseconds(Ended.m_Job->m_ExpectedRunTime)},
            {"free_millicores", m_Runs.free().m_MilliCores}});
}

void BackendSession::updateHealth(const Run &Ended, RunOutcome Outcome) {
  if (Outcome == RunOutcome::Succeeded)
    m_Health.recordEnd(false);
  else if (Outcome == RunOutcome::Failed &&
           m_FailedJobs.insert(Ended.m_Job->m_Job).second)
    m_Health.recordEnd(true);
  if (m_FailedJobs.size() > MaxFailedJobs)
    m_FailedJobs.clear();
}

double BackendSession::slowness() const {
  return m_Slowness.current(m_Runs.runs(), m_Timers.now());
}

bool BackendSession::hasOverdueRuns() const {
  return slowness() > m_Slowness.mean();
}

void BackendSession::receiveLists(const ConfirmedReply &Confirmed) {
  const HoldReply &Reply = Confirmed.m_Reply;
  OwnStartTime Stated{Reply.m_InstanceStartedAt};
  if (isFromEarlierIncarnation(m_Identity.known(), Stated))
    return requestFirstLists();
  receiveEvidence(Stated);
  if (isGone())
    return;
  m_Identity.recordReply(Reply.m_InstanceStartedAt, Confirmed.m_SentAt,
                         m_Timers.now());
  processEndedRuns(Reply);
  updateProgress(Reply);
  std::set<RunId> Listed;
  for (const ActiveRun &Active : Reply.m_Running)
    Listed.insert(Active.m_Run);
  m_Orphans.clear();
  for (const RunId &Id : Listed) {
    if (RunPointer Found = m_Runs.find(Id))
      receiveEvidence(Found, ListedRunning{});
    else
      m_Orphans.push_back(Id);
  }
  detectMissingRuns(Confirmed, Listed);
  fire(m_Orphans.empty() ? SessionEvent::NoOrphans
                         : SessionEvent::OrphansFound);
  requestFirstLists();
  startWaitingRuns();
  endWhenDrained();
}

void BackendSession::requestFirstLists() {
  if (m_Context.m_State == SessionState::Reconciling)
    m_Server.requestLists(m_Settings.m_PollPeriod);
}

void BackendSession::updateProgress(const HoldReply &Reply) {
  for (const ActiveRun &Active : Reply.m_Running) {
    RunPointer Updated = m_Runs.find(Active.m_Run);
    if (!Updated || Updated->m_State != RunState::Running)
      continue;
    bool IsFirstProgress =
        cyclamenwalk::updateProgress(*Updated, Active, m_Timers.now());
    if (IsFirstProgress)
      m_Health.recordProgress();
    checkDeadline(*Updated);
  }
  stopStalledRuns();
  moveRunsThatCannotEnd();
}

/// Stops stalled runs, so that their tasks can run at another worker.
void BackendSession::stopStalledRuns() {
  bool HasStalledRuns = false;
  for (const RunPointer &Candidate : m_Runs.runs()) {
    if (!isStalled(*Candidate))
      continue;
    HasStalledRuns = true;
    logEvent(LogLevel::Warning, "run.stalled",
             {{"task", Candidate->m_Id.m_Task},
              {"run", Candidate->m_Id.m_Run},
              {"progress_percent", Candidate->m_ProgressPercent},
              {"stalled_ms", toMilliseconds(Candidate->m_ProgressListedAt -
                                            Candidate->m_LastProgressAt)}});
    fireRun(Candidate, RunEvent::Stop, StopRequest);
  }
  if (!HasStalledRuns)
    return;
  m_Health.recordStall();
  // Waiting runs are more likely to start soon at another worker.
  dropWaitingRuns();
}

void BackendSession::checkDeadline(Run &Running) {
  Duration RemainingRunTime = forecastRemaining(Running, m_Timers.now());
  Duration UntilDeadline = Running.m_Job->m_DeadlineAt - m_Timers.now();
  bool MayEndInTime =
      RemainingRunTime == Duration::zero() || RemainingRunTime <= UntilDeadline;
  if (Running.m_IsDeadlineMissReported || MayEndInTime)
    return;
  Running.m_IsDeadlineMissReported = true;
  logEvent(
      LogLevel::Info, "run.deadline_unreachable",
      {{"task", Running.m_Id.m_Task},
       {"run", Running.m_Id.m_Run},
       {"elapsed_ms", toMilliseconds(m_Timers.now() - Running.m_StartedAt)},
       {"progress_percent", Running.m_ProgressPercent},
       {"remaining_run_ms", toMilliseconds(RemainingRunTime)},
       {"until_deadline_ms", toMilliseconds(UntilDeadline)}});
  m_Hooks.m_DeadlineUnreachable(Running);
}

void BackendSession::processEndedRuns(const HoldReply &Reply) {
  for (const EndedRun &Listed : Reply.m_Ended) {
    if (Listed.m_Number <= m_Server.lastEnd())
      continue;
    m_Server.setLastEnd(Listed.m_Number);
    RunPointer Ended = m_Runs.find(Listed.m_Run);
    if (!Ended)
      continue;
    Ended->m_RunOutcome = Listed.m_RunOutcome;
    receiveEvidence(Ended, ListedEnd{Listed.m_RunOutcome});
  }
}

void BackendSession::detectMissingRuns(const ConfirmedReply &Confirmed,
                                       const std::set<RunId> &Listed) {
  NotListed Evidence{Confirmed.m_SentAt, Confirmed.m_Token,
                     Confirmed.m_Reply.hasAllEnds()};
  for (const RunPointer &Candidate : m_Runs.runs())
    if (!Listed.count(Candidate->m_Id))
      receiveEvidence(Candidate, Evidence);
}

void BackendSession::stopOrphans() {
  for (const RunId &Id : m_Orphans) {
    logEvent(LogLevel::Info, "run.orphaned",
             {{"task", Id.m_Task}, {"run", Id.m_Run}});
    m_Server.stop(Id);
  }
}

} // namespace cyclamenwalk
