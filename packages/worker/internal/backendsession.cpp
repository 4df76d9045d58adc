#include "worker/internal/backendsession.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace cyclamenwalk {

namespace {

/// A stop order is repeated after this time if the run has not ended.
constexpr Duration StopRepeatPeriod = milliseconds(100);
/// Weight of one run in the running mean.
constexpr double SlownessWeight = 0.08;
constexpr double MinRunTimeRatio = 0.2;
constexpr double MaxRunTimeRatio = 8;
/// A run is overdue from this multiple of its expected time on.
constexpr double OverdueRatio = 2;
/// Weight of the running mean when it is averaged with the overdue runs, as a
/// number of runs.
constexpr double MeanSlownessWeight = 10;
constexpr double Percent = 100;
constexpr int FullProgress = 100;
/// A run has stalled when it makes no progress for this time, or for this
/// fraction of its expected time if that is longer.
constexpr Duration MinStallTimeout = milliseconds(140);
constexpr int StallTimeoutDivisor = 4;
constexpr std::size_t MaxFailedJobs = 1000;
/// Before this time a run's progress is too coarse for a forecast.
constexpr Duration MinForecastTime = milliseconds(200);

double runTimeRatio(Duration Actual, Duration Expected) {
  double Quotient =
      static_cast<double>(Actual.count()) /
      static_cast<double>(std::max<Duration::rep>(1, Expected.count()));
  return std::clamp(Quotient, MinRunTimeRatio, MaxRunTimeRatio);
}

RunEvent eventOf(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Done:
    return RunEvent::Accepted;
  case OrderOutcome::Fenced:
  case OrderOutcome::LeaseExpired:
    return RunEvent::Fenced;
  case OrderOutcome::StaleRun:
    return RunEvent::Stale;
  case OrderOutcome::Refused:
  case OrderOutcome::WrongInstance:
  case OrderOutcome::Unreachable:
    return RunEvent::Refused;
  case OrderOutcome::Unanswered:
    return RunEvent::Unanswered;
  }
  return RunEvent::Unanswered;
}

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
                               Hooks Callbacks)
    : m_Announcement(std::move(Announcement)), m_Settings(Settings),
      m_Timers(Dependencies.m_Timers), m_Metrics(Dependencies.m_Metrics),
      m_Hooks(std::move(Callbacks)),
      m_Chart(bindSession(Dependencies.m_Charts)),
      m_RunChart(bindRun(Dependencies.m_Charts)),
      m_Runs(m_Announcement.m_Capacity),
      m_Health(m_Announcement.m_Instance, Dependencies.m_MakeFailureTest(),
               Dependencies.m_Charts, m_Timers, [this] { startWaitingRuns(); }),
      m_Server(
          m_Announcement.m_Address, m_Announcement.m_Instance, Settings,
          Dependencies,
          {[this](const ConfirmedReply &Confirmed) { receiveLists(Confirmed); },
           [this](const std::string &Reason) { markLost(Reason); },
           [this] { return m_Runs.activeCount() > 0; },
           [this] { return leaseLimit(); }}) {
  m_Context.m_State = m_Chart.initial();
  logEvent(LogLevel::Info, "backend.found",
           {{"instance", m_Announcement.m_Instance},
            {"service", m_Announcement.m_Service},
            {"kind", m_Announcement.m_Kind},
            {"rack", m_Announcement.m_Rack},
            {"millicores", m_Announcement.m_Capacity.m_MilliCores},
            {"memory_mb", m_Announcement.m_Capacity.m_MemoryMb},
            {"token", m_Server.token()}});
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
  auto StateIndex = static_cast<std::size_t>(m_Context.m_State);
  logEvent(
      LogLevel::Info, "backend.state_changed",
      {{"instance", m_Announcement.m_Instance},
       {"state", std::string(ChartNames<SessionState>::Values[StateIndex])},
       {"runs", m_Runs.size()},
       {"token", m_Server.token()}});
  m_Hooks.m_Changed();
}

void BackendSession::fireRun(const RunPointer &Target, RunEvent Event) {
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

void BackendSession::updateAnnouncement(
    const BackendAnnouncement &Announcement) {
  bool IsOutdated = Announcement.m_Sequence < m_Announcement.m_Sequence;
  if (IsOutdated)
    return;
  m_Announcement = Announcement;
  m_Runs.setCapacity(Announcement.m_Capacity);
  if (Announcement.m_IsLeaving)
    leave();
}

void BackendSession::leave() { fire(SessionEvent::Leave); }

void BackendSession::markLost(const std::string &Reason) {
  if (isGone())
    return;
  logEvent(LogLevel::Warning, "backend.lost",
           {{"instance", m_Announcement.m_Instance},
            {"reason", Reason},
            {"runs", m_Runs.size()}});
  fire(SessionEvent::BackendLost);
}

void BackendSession::markRunsLost() {
  m_Server.close();
  for (const RunPointer &Lost : m_Runs.runs())
    fireRun(Lost, RunEvent::BackendLost);
}

/// Returns the waiting runs to their entries; other runs ignore the event.
void BackendSession::dropWaitingRuns() {
  for (const RunPointer &Candidate : m_Runs.runs())
    fireRun(Candidate, RunEvent::Expire);
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

Duration BackendSession::forecastWait(const PlacedJob &Job) const {
  return m_Runs.forecastWait(Job, m_Timers.now(), slowness());
}

void BackendSession::expireRun(const RunId &Id) {
  if (RunPointer Expired = m_Runs.find(Id))
    fireRun(Expired, RunEvent::Expire);
}

void BackendSession::stopRuns(const std::function<bool(const Run &)> &Matches) {
  for (const RunPointer &Candidate : m_Runs.runs())
    if (Matches(*Candidate))
      fireRun(Candidate, RunEvent::Stop);
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
  while (isServing() && m_Runs.activeCount() < m_Health.runLimit()) {
    RunPointer Next =
        m_Runs.nextToStart(m_Timers.now(), [this](const Run &Waiting) {
          return mayStart(Waiting);
        });
    if (!Next)
      break;
    m_Runs.dequeue(*Next);
    // After a pause of this process the expiry timer may not have fired yet,
    // while the entry may already have given up the run.
    bool IsExpired =
        m_Timers.now() - Next->m_Job->m_PlacedAt >= m_Settings.m_MaxQueueTime;
    fireRun(Next, IsExpired ? RunEvent::Expire : RunEvent::Start);
  }
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
              {"outcome", static_cast<int>(Reply.m_Outcome)},
              {"token", Token}});
  if (IsCurrent)
    fireRun(Started, eventOf(Reply.m_Outcome));
  if (Reply.m_Outcome == OrderOutcome::Unreachable)
    markLost("nothing listens at its address");
  else if (Reply.m_Outcome == OrderOutcome::WrongInstance)
    markLost("another instance replied");
  else if (Reply.m_Outcome != OrderOutcome::Done)
    startWaitingRuns();
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
}

void BackendSession::finishRun(Run &Ended, RunOutcome Outcome) {
  Ended.m_RunOutcome = Outcome;
  Duration RunTime{};
  if (Ended.m_StartedAt != TimePoint{})
    RunTime = m_Timers.now() - Ended.m_StartedAt;
  if (Outcome == RunOutcome::Succeeded)
    updateSlowness(Ended, RunTime);
  updateHealth(Ended, Outcome);
  logEvent(LogLevel::Info, "run.ended",
           {{"task", Ended.m_Id.m_Task},
            {"run", Ended.m_Id.m_Run},
            {"outcome", nameOf(Outcome)},
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

void BackendSession::updateSlowness(const Run &Ended, Duration RunTime) {
  double Ratio = runTimeRatio(RunTime, Ended.m_Job->m_ExpectedRunTime);
  m_Slowness += SlownessWeight * (Ratio - m_Slowness);
}

/// The running mean, averaged with the overdue runs in progress.
double BackendSession::slowness() const {
  double Sum = MeanSlownessWeight * m_Slowness;
  double Count = MeanSlownessWeight;
  for (const RunPointer &Candidate : m_Runs.runs()) {
    if (Candidate->m_State != RunState::Running)
      continue;
    double Ratio = runTimeRatio(m_Timers.now() - Candidate->m_StartedAt,
                                Candidate->m_Job->m_ExpectedRunTime);
    if (Ratio < OverdueRatio * m_Slowness)
      continue;
    Sum += Ratio;
    ++Count;
  }
  return Sum / Count;
}

bool BackendSession::hasOverdueRuns() const { return slowness() > m_Slowness; }

void BackendSession::receiveLists(const ConfirmedReply &Confirmed) {
  const HoldReply &Reply = Confirmed.m_Reply;
  bool IsOtherInstance =
      Reply.m_InstanceStartedAt != Duration::zero() &&
      m_Announcement.m_InstanceStartedAt != Duration::zero() &&
      Reply.m_InstanceStartedAt != m_Announcement.m_InstanceStartedAt;
  if (IsOtherInstance)
    return markLost("another instance with the same name replied");
  processEndedRuns(Reply);
  updateProgress(Reply);
  std::set<RunId> Listed;
  for (const ActiveRun &Active : Reply.m_Running)
    Listed.insert(Active.m_Run);
  m_Orphans.clear();
  for (const RunId &Id : Listed) {
    if (RunPointer Found = m_Runs.find(Id))
      fireRun(Found, RunEvent::Listed);
    else
      m_Orphans.push_back(Id);
  }
  detectMissingRuns(Confirmed, Listed);
  fire(m_Orphans.empty() ? SessionEvent::NoOrphans
                         : SessionEvent::OrphansFound);
  if (m_Context.m_State == SessionState::Reconciling)
    m_Server.requestLists(m_Settings.m_PollPeriod);
  startWaitingRuns();
}

void BackendSession::updateProgress(const HoldReply &Reply) {
  for (const ActiveRun &Active : Reply.m_Running) {
    RunPointer Updated = m_Runs.find(Active.m_Run);
    if (!Updated || Updated->m_State != RunState::Running)
      continue;
    Updated->m_ProgressListedAt = m_Timers.now();
    bool HasIncreased = Active.m_ProgressPercent > Updated->m_ProgressPercent ||
                        Updated->m_LastProgressAt == TimePoint{};
    bool HasProgressed = Active.m_ProgressPercent > 0 && HasIncreased;
    if (HasIncreased)
      Updated->m_LastProgressAt = m_Timers.now();
    if (HasProgressed && !std::exchange(Updated->m_HasProgressed, true))
      m_Health.recordProgress();
    Updated->m_ProgressPercent = Active.m_ProgressPercent;
    checkDeadline(*Updated);
  }
  stopStalledRuns();
}

/// Whether the run has made no progress for longer than one step of its
/// progress can take.
bool BackendSession::isStalled(const Run &Candidate) const {
  if (Candidate.m_State != RunState::Running ||
      Candidate.m_LastProgressAt == TimePoint{})
    return false;
  Duration Timeout =
      std::max(MinStallTimeout,
               Candidate.m_Job->m_ExpectedRunTime / StallTimeoutDivisor);
  return Candidate.m_ProgressListedAt - Candidate.m_LastProgressAt >= Timeout;
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
    fireRun(Candidate, RunEvent::Stop);
  }
  if (!HasStalledRuns)
    return;
  m_Health.recordStall();
  // Waiting runs are more likely to start soon at another worker.
  dropWaitingRuns();
}

void BackendSession::checkDeadline(Run &Running) {
  Duration Elapsed = m_Timers.now() - Running.m_StartedAt;
  // A run without recent progress may succeed at another worker.
  bool IsStalling = Running.m_ProgressPercent == 0 ||
                    Running.m_ProgressListedAt - Running.m_LastProgressAt >=
                        MinStallTimeout / 2;
  if (Running.m_IsDeadlineMissReported || IsStalling ||
      Elapsed < MinForecastTime)
    return;
  // Progress is rounded down; assume that the next percent is almost complete.
  Duration RemainingRunTime =
      Elapsed * FullProgress / (Running.m_ProgressPercent + 1) - Elapsed;
  Duration UntilDeadline = Running.m_Job->m_DeadlineAt - m_Timers.now();
  if (RemainingRunTime <= UntilDeadline)
    return;
  Running.m_IsDeadlineMissReported = true;
  logEvent(LogLevel::Info, "run.deadline_unreachable",
           {{"task", Running.m_Id.m_Task},
            {"run", Running.m_Id.m_Run},
            {"elapsed_ms", toMilliseconds(Elapsed)},
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
    fireRun(Ended, RunEvent::Ended);
  }
}

/// Handles runs that the server should list and does not: runs that had started
/// when the hold was sent, and unconfirmed runs whose start order is now void.
void BackendSession::detectMissingRuns(const ConfirmedReply &Confirmed,
                                       const std::set<RunId> &Listed) {
  for (const RunPointer &Candidate : m_Runs.runs()) {
    if (!usesResources(*Candidate) || Listed.count(Candidate->m_Id))
      continue;
    bool HadStarted = Candidate->m_StartedAt != TimePoint{} &&
                      Candidate->m_StartedAt < Confirmed.m_SentAt;
    bool IsFenced = Candidate->m_State != RunState::Starting &&
                    Candidate->m_OrderToken < Confirmed.m_Token;
    if (HadStarted || IsFenced)
      fireRun(Candidate, RunEvent::Missing);
  }
}

void BackendSession::stopOrphans() {
  for (const RunId &Id : m_Orphans) {
    logEvent(LogLevel::Info, "run.orphaned",
             {{"task", Id.m_Task}, {"run", Id.m_Run}});
    m_Server.stop(Id);
  }
}

WorkerReport BackendSession::report() const {
  WorkerReport Report;
  Report.m_Service = m_Announcement.m_Service;
  Report.m_Rack = m_Announcement.m_Rack;
  Report.m_Kind = m_Announcement.m_Kind;
  Report.m_Capacity = m_Runs.capacity();
  Report.m_Free = m_Runs.free();
  bool IsFull = m_Runs.activeCount() >= m_Health.runLimit();
  Report.m_IsAccepting = isServing() && !IsFull;
  double Slowness = slowness();
  Report.m_SlowdownPercent = static_cast<std::uint32_t>(Percent * Slowness);
  Report.m_MeanRemaining = m_Runs.meanRemaining(m_Timers.now(), Slowness);
  Report.m_Waiting = m_Runs.waitingWork(m_Timers.now());
  return Report;
}

} // namespace cyclamenwalk
