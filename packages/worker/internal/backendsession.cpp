#include "worker/internal/backendsession.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace cyclamenwalk {

namespace {

/// A run that was asked to stop is asked again after this time.
constexpr Duration StopRepeat = milliseconds(100);
/// Weight of one run time in the running mean.
constexpr double SlownessWeight = 0.08;
constexpr double LeastRatio = 0.2;
constexpr double GreatestRatio = 8;
/// A run counts as overdue from this multiple of its expected time.
constexpr double OverdueRatio = 2;
/// Runs that the learned mean stands for beside those that are overdue.
constexpr double LearnedRuns = 10;
constexpr double Percent = 100;
constexpr int WholePercent = 100;
/// A run stands still when it does not get on for this time, or for this part
/// of its expected time if that is longer.
constexpr Duration LeastStall = milliseconds(140);
constexpr int StallDivisor = 4;
/// Jobs remembered as judged.
constexpr std::size_t MaxFailedJobs = 1000;
/// Progress is not looked at before this time, when its steps are too coarse.
constexpr Duration ProgressFrom = milliseconds(200);

double ratio(Duration Actual, Duration Expected) {
  double Quotient =
      static_cast<double>(Actual.count()) /
      static_cast<double>(std::max<Duration::rep>(1, Expected.count()));
  return std::clamp(Quotient, LeastRatio, GreatestRatio);
}

RunEvent eventOf(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Done:
    return RunEvent::Accepted;
  case OrderOutcome::Fenced:
  case OrderOutcome::LeaseOver:
    return RunEvent::Fenced;
  case OrderOutcome::StaleRun:
    return RunEvent::TooLow;
  case OrderOutcome::Refused:
  case OrderOutcome::WrongInstance:
  case OrderOutcome::Unreachable:
    return RunEvent::Refused;
  case OrderOutcome::Unanswered:
    return RunEvent::Unanswered;
  }
  return RunEvent::Unanswered;
}

const char *nameOf(RunOutcome How) {
  switch (How) {
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
    return "run_too_low";
  case RunOutcome::Count:
    break;
  }
  return "unknown";
}

} // namespace

BackendSession::BackendSession(BackendAnnouncement Said,
                               WorkerSettings Settings,
                               const WorkerDependencies &Needs, Hooks Calls)
    : m_Said(std::move(Said)), m_Settings(Settings), m_Timers(Needs.m_Timers),
      m_Metrics(Needs.m_Metrics), m_Hooks(std::move(Calls)),
      m_Chart(bindSession(Needs.m_Charts)), m_RunChart(bindRun(Needs.m_Charts)),
      m_Ledger(m_Said.m_Capacity),
      m_Condition(m_Said.m_Instance, Needs.m_FailureTest(), Needs.m_Charts,
                  m_Timers, [this] { startWaiting(); }),
      m_Server(m_Said.m_Address, m_Said.m_Instance, Settings, Needs,
               {[this](const ListsReceived &Lists) { takeLists(Lists); },
                [this](const std::string &Reason) { lose(Reason); },
                [this] { return m_Ledger.occupied() > 0; }}) {
  m_Context.m_State = m_Chart.initial();
  logEvent(LogLevel::Info, "backend.found",
           {{"instance", m_Said.m_Instance},
            {"service", m_Said.m_Service},
            {"kind", m_Said.m_Kind},
            {"rack", m_Said.m_Rack},
            {"millicores", m_Said.m_Capacity.m_MilliCores},
            {"memory_mb", m_Said.m_Capacity.m_MemoryMb},
            {"token", m_Server.token()}});
  m_Server.look();
}

BackendSession::~BackendSession() {
  for (const RunPointer &Known : m_Ledger.all())
    m_Timers.cancel(Known->m_ExpiryTimer);
}

BackendSession::SessionChart
BackendSession::bindSession(const IChartSource &Charts) {
  return SessionChart(Charts.chart("session"), {},
                      {{"serve", [this](Context &) { m_Server.keepLease(); }},
                       {"endStrangers", [this](Context &) { endStrangers(); }},
                       {"dropWaiting", [this](Context &) { dropWaiting(); }},
                       {"loseRuns", [this](Context &) { loseRuns(); }}});
}

RunChart BackendSession::bindRun(const IChartSource &Charts) {
  return RunChart(
      Charts.chart("run"), {},
      {{"sendStart", [this](Run &R) { sendStart(R); }},
       {"sendStop", [this](Run &R) { sendStop(R); }},
       {"queueAgain", [this](Run &R) { queueAgain(R); }},
       {"fence", [this](Run &R) { m_Server.fence(R.m_OrderToken); }},
       {"report", [this](Run &R) { finish(R, R.m_RunOutcome); }},
       {"reportNotStarted",
        [this](Run &R) { finish(R, RunOutcome::NotStarted); }},
       {"reportTooLow", [this](Run &R) { finish(R, RunOutcome::StaleRun); }},
       {"reportGone", [this](Run &R) { finish(R, RunOutcome::BackendGone); }}});
}

void BackendSession::fire(SessionEvent What) {
  SessionState Before = m_Context.m_State;
  m_Chart.fire(m_Context, What);
  if (Before == m_Context.m_State)
    return;
  auto State = static_cast<std::size_t>(m_Context.m_State);
  logEvent(LogLevel::Info, "backend.state",
           {{"instance", m_Said.m_Instance},
            {"state", std::string(ChartNames<SessionState>::Values[State])},
            {"runs", m_Ledger.size()},
            {"token", m_Server.token()}});
  m_Hooks.m_Changed();
}

void BackendSession::fireRun(const RunPointer &Known, RunEvent What) {
  bool HeldRoom = holdsRoom(*Known);
  m_RunChart.fire(*Known, What);
  bool HoldsRoom = holdsRoom(*Known);
  if (HoldsRoom && !HeldRoom)
    m_Ledger.occupy(*Known);
  if (HeldRoom && !HoldsRoom)
    m_Ledger.release(*Known);
  if (Known->m_State == RunState::Running && Known->m_StartedAt == TimePoint{})
    Known->m_StartedAt = m_Timers.now();
  if (Known->m_State != RunState::Ended)
    return;
  m_Timers.cancel(Known->m_ExpiryTimer);
  m_Ledger.erase(*Known);
  m_Hooks.m_Ended(*Known);
}

void BackendSession::renew(const BackendAnnouncement &Said) {
  bool IsOutdated = Said.m_Sequence < m_Said.m_Sequence;
  if (IsOutdated)
    return;
  m_Said = Said;
  m_Ledger.setCapacity(Said.m_Capacity);
  if (Said.m_IsLeaving)
    leave();
}

void BackendSession::leave() { fire(SessionEvent::Leave); }

void BackendSession::lose(const std::string &Reason) {
  if (isGone())
    return;
  logEvent(LogLevel::Warning, "backend.lost",
           {{"instance", m_Said.m_Instance},
            {"reason", Reason},
            {"runs", m_Ledger.size()}});
  fire(SessionEvent::Lost);
}

void BackendSession::loseRuns() {
  m_Server.close();
  for (const RunPointer &Known : m_Ledger.all())
    fireRun(Known, RunEvent::Lost);
}

void BackendSession::dropWaiting() {
  for (const RunPointer &Known : m_Ledger.all())
    fireRun(Known, RunEvent::Expire);
}

void BackendSession::place(const std::shared_ptr<const PlacedJob> &Job,
                           PlacedTask Task) {
  auto Added = std::make_shared<Run>();
  Added->m_State = m_RunChart.initial();
  Added->m_Job = Job;
  Added->m_Task = Task;
  Added->m_Name = {Job->m_Name + "." + std::to_string(Task.m_Index),
                   Task.m_Run};
  m_Ledger.add(Added);
  m_Ledger.queue(Added);
  RunName Name = Added->m_Name;
  Added->m_ExpiryTimer = m_Timers.subscribe(m_Settings.m_LongestWait,
                                            [this, Name] { expire(Name); });
  startWaiting();
}

Duration BackendSession::forecastWait(const PlacedJob &Job) const {
  return m_Ledger.forecastWait(Job, m_Timers.now(), slowness());
}

void BackendSession::expire(const RunName &Name) {
  if (RunPointer Known = m_Ledger.find(Name))
    fireRun(Known, RunEvent::Expire);
}

void BackendSession::stopRuns(const std::function<bool(const Run &)> &IsMeant) {
  for (const RunPointer &Known : m_Ledger.all())
    if (IsMeant(*Known))
      fireRun(Known, RunEvent::Stop);
  startWaiting();
}

void BackendSession::startWaiting() {
  while (isServing() && m_Ledger.occupied() < m_Condition.limit()) {
    RunPointer Next = m_Ledger.nextToStart(m_Timers.now());
    if (!Next)
      break;
    m_Ledger.unqueue(*Next);
    // A pause of this process must not let a run start long after its entry
    // may have given it up.
    bool IsStale =
        m_Timers.now() - Next->m_Job->m_PlacedAt >= m_Settings.m_LongestWait;
    fireRun(Next, IsStale ? RunEvent::Expire : RunEvent::Start);
  }
  m_Hooks.m_Changed();
}

void BackendSession::sendStart(Run &Started) {
  m_Metrics.count(Metric::StartsExecuted);
  std::uint64_t Token = m_Server.token();
  Started.m_OrderToken = Token;
  RunName Name = Started.m_Name;
  TimePoint SentAt = m_Timers.now();
  m_Metrics.observe(Timing::TaskWait, SentAt - Started.m_Job->m_PlacedAt);
  m_Server.start(Name, Started.m_Job->m_Spec,
                 [this, Name, Token, SentAt](const OrderReply &Reply) {
                   m_Metrics.observe(Timing::StartOrder,
                                     m_Timers.now() - SentAt);
                   receiveStarted(Name, Token, Reply);
                 });
}

void BackendSession::receiveStarted(const RunName &Name, std::uint64_t Token,
                                    const OrderReply &Reply) {
  RunPointer Known = m_Ledger.find(Name);
  bool IsCurrent = Known && Known->m_OrderToken == Token;
  if (Reply.m_Outcome != OrderOutcome::Done)
    logEvent(LogLevel::Warning, "run.order_failed",
             {{"task", Name.m_Task},
              {"run", Name.m_Run},
              {"outcome", static_cast<int>(Reply.m_Outcome)},
              {"token", Token}});
  if (IsCurrent)
    fireRun(Known, eventOf(Reply.m_Outcome));
  if (Reply.m_Outcome == OrderOutcome::Unreachable)
    lose("nothing listens at its address");
  else if (Reply.m_Outcome == OrderOutcome::WrongInstance)
    lose("another life answers");
  else if (Reply.m_Outcome != OrderOutcome::Done)
    startWaiting();
}

void BackendSession::sendStop(Run &Stopped) {
  TimePoint Now = m_Timers.now();
  bool IsRecent = Stopped.m_StopSentAt != TimePoint{} &&
                  Now - Stopped.m_StopSentAt < StopRepeat;
  if (IsRecent)
    return;
  Stopped.m_StopSentAt = Now;
  m_Server.stop(Stopped.m_Name);
}

void BackendSession::queueAgain(Run &Waiting) {
  m_Ledger.queue(m_Ledger.find(Waiting.m_Name));
}

void BackendSession::finish(Run &Ended, RunOutcome How) {
  Ended.m_RunOutcome = How;
  Duration RunTime{};
  if (Ended.m_StartedAt != TimePoint{})
    RunTime = m_Timers.now() - Ended.m_StartedAt;
  if (How == RunOutcome::Succeeded)
    learnSlowness(Ended, RunTime);
  judge(Ended, How);
  logEvent(LogLevel::Info, "run.ended",
           {{"task", Ended.m_Name.m_Task},
            {"run", Ended.m_Name.m_Run},
            {"how", nameOf(How)},
            {"run_ms", toMilliseconds(RunTime)},
            {"waited_ms", toMilliseconds(m_Timers.now() - RunTime -
                                         Ended.m_Job->m_PlacedAt)},
            {"expected_ms", toMilliseconds(Ended.m_Job->m_ExpectedRunTime)},
            {"free_millicores", m_Ledger.free().m_MilliCores}});
}

void BackendSession::judge(const Run &Ended, RunOutcome How) {
  if (How == RunOutcome::Succeeded)
    m_Condition.noteEnd(false);
  else if (How == RunOutcome::Failed &&
           m_FailedJobs.insert(Ended.m_Job->m_Job).second)
    m_Condition.noteEnd(true);
  if (m_FailedJobs.size() > MaxFailedJobs)
    m_FailedJobs.clear();
}

void BackendSession::learnSlowness(const Run &Ended, Duration RunTime) {
  double Seen = ratio(RunTime, Ended.m_Job->m_ExpectedRunTime);
  m_Slowness += SlownessWeight * (Seen - m_Slowness);
}

/// The learned mean, raised by runs that are overdue now.
double BackendSession::slowness() const {
  double Sum = LearnedRuns * m_Slowness;
  double Count = LearnedRuns;
  for (const RunPointer &Known : m_Ledger.all()) {
    if (Known->m_State != RunState::Running)
      continue;
    double Seen = ratio(m_Timers.now() - Known->m_StartedAt,
                        Known->m_Job->m_ExpectedRunTime);
    if (Seen < OverdueRatio * m_Slowness)
      continue;
    Sum += Seen;
    ++Count;
  }
  return Sum / Count;
}

bool BackendSession::hasOverdue() const { return slowness() > m_Slowness; }

void BackendSession::takeLists(const ListsReceived &Lists) {
  const HoldReply &Reply = Lists.m_Reply;
  bool IsReborn = Reply.m_BornAt != Duration::zero() &&
                  m_Said.m_BornAt != Duration::zero() &&
                  Reply.m_BornAt != m_Said.m_BornAt;
  if (IsReborn)
    return lose("another life with the same name answers");
  takeEnds(Reply);
  takeProgress(Reply);
  std::set<RunName> Listed;
  for (const ListedRun &Known : Reply.m_Running)
    Listed.insert(Known.m_Name);
  m_Strangers.clear();
  for (const RunName &Name : Listed) {
    if (RunPointer Known = m_Ledger.find(Name))
      fireRun(Known, RunEvent::Listed);
    else
      m_Strangers.push_back(Name);
  }
  takeMissing(Lists, Listed);
  fire(m_Strangers.empty() ? SessionEvent::Empty : SessionEvent::Occupied);
  if (m_Context.m_State == SessionState::Looking)
    m_Server.look(m_Settings.m_LookPause);
  startWaiting();
}

void BackendSession::takeProgress(const HoldReply &Reply) {
  for (const ListedRun &Listed : Reply.m_Running) {
    RunPointer Known = m_Ledger.find(Listed.m_Name);
    if (!Known || Known->m_State != RunState::Running)
      continue;
    Known->m_ProgressAt = m_Timers.now();
    bool HasGrown = Listed.m_ProgressPercent > Known->m_ProgressPercent ||
                    Known->m_GrewAt == TimePoint{};
    bool GetsOn = Listed.m_ProgressPercent > 0 && HasGrown;
    if (HasGrown)
      Known->m_GrewAt = m_Timers.now();
    if (GetsOn && !std::exchange(Known->m_GetsOn, true))
      m_Condition.noteProgress();
    Known->m_ProgressPercent = Listed.m_ProgressPercent;
    checkHopeless(*Known);
  }
  stopStalled();
}

/// Whether the run has stood still for longer than one step of its progress
/// can take.
bool BackendSession::isStalled(const Run &Known) const {
  if (Known.m_State != RunState::Running || Known.m_GrewAt == TimePoint{})
    return false;
  Duration Patience =
      std::max(LeastStall, Known.m_Job->m_ExpectedRunTime / StallDivisor);
  return Known.m_ProgressAt - Known.m_GrewAt >= Patience;
}

/// A run that stands still is ended, so that its task can run elsewhere.
void BackendSession::stopStalled() {
  bool Any = false;
  for (const RunPointer &Known : m_Ledger.all()) {
    if (!isStalled(*Known))
      continue;
    Any = true;
    logEvent(
        LogLevel::Warning, "run.stalled",
        {{"task", Known->m_Name.m_Task},
         {"run", Known->m_Name.m_Run},
         {"progress_percent", Known->m_ProgressPercent},
         {"still_ms", toMilliseconds(Known->m_ProgressAt - Known->m_GrewAt)}});
    fireRun(Known, RunEvent::Stop);
  }
  if (!Any)
    return;
  m_Condition.noteStall();
  // What waits here has a better chance elsewhere.
  dropWaiting();
}

void BackendSession::checkHopeless(Run &Known) {
  Duration Elapsed = m_Timers.now() - Known.m_StartedAt;
  // One that stands still may do better elsewhere.
  bool IsStill = Known.m_ProgressPercent == 0 ||
                 Known.m_ProgressAt - Known.m_GrewAt >= LeastStall / 2;
  if (Known.m_IsHopeless || IsStill || Elapsed < ProgressFrom)
    return;
  // Progress is rounded down, so the run may be a step further.
  Duration Left =
      Elapsed * WholePercent / (Known.m_ProgressPercent + 1) - Elapsed;
  Duration Remaining = Known.m_Job->m_DeadlineAt - m_Timers.now();
  if (Left <= Remaining)
    return;
  Known.m_IsHopeless = true;
  logEvent(LogLevel::Info, "run.hopeless",
           {{"task", Known.m_Name.m_Task},
            {"run", Known.m_Name.m_Run},
            {"elapsed_ms", toMilliseconds(Elapsed)},
            {"progress_percent", Known.m_ProgressPercent},
            {"left_ms", toMilliseconds(Left)},
            {"remaining_ms", toMilliseconds(Remaining)}});
  m_Hooks.m_Hopeless(Known);
}

void BackendSession::takeEnds(const HoldReply &Reply) {
  for (const ListedEnd &End : Reply.m_Ended) {
    if (End.m_Number <= m_Server.lastEnd())
      continue;
    m_Server.noteEnd(End.m_Number);
    RunPointer Known = m_Ledger.find(End.m_Run);
    if (!Known)
      continue;
    Known->m_RunOutcome = End.m_RunOutcome;
    fireRun(Known, RunEvent::Ended);
  }
}

/// Draws conclusions from runs that a reply does not list.
void BackendSession::takeMissing(const ListsReceived &Lists,
                                 const std::set<RunName> &Listed) {
  for (const RunPointer &Known : m_Ledger.all()) {
    if (!holdsRoom(*Known) || Listed.count(Known->m_Name))
      continue;
    bool HadStarted = Known->m_StartedAt != TimePoint{} &&
                      Known->m_StartedAt < Lists.m_SentAt;
    bool IsFenced = Known->m_State != RunState::Starting &&
                    Known->m_OrderToken < Lists.m_Token;
    if (HadStarted || IsFenced)
      fireRun(Known, RunEvent::Missing);
  }
}

/// Stops runs that an earlier agent started.
void BackendSession::endStrangers() {
  for (const RunName &Name : m_Strangers) {
    logEvent(LogLevel::Info, "run.stranger",
             {{"task", Name.m_Task}, {"run", Name.m_Run}});
    m_Server.stop(Name);
  }
}

WorkerReport BackendSession::report() const {
  WorkerReport Report;
  Report.m_Service = m_Said.m_Service;
  Report.m_Rack = m_Said.m_Rack;
  Report.m_Kind = m_Said.m_Kind;
  Report.m_Capacity = m_Ledger.capacity();
  Report.m_Free = m_Ledger.free();
  bool IsFull = m_Ledger.occupied() >= m_Condition.limit();
  Report.m_IsAccepting = isServing() && !IsFull;
  double Slowness = slowness();
  Report.m_SlownessPercent = static_cast<std::uint32_t>(Percent * Slowness);
  Report.m_MeanRemaining = m_Ledger.meanRemaining(m_Timers.now(), Slowness);
  Report.m_Waiting = m_Ledger.waiting(m_Timers.now());
  return Report;
}

} // namespace cyclamenwalk
