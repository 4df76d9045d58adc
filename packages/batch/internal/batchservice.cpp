#include "batch/internal/batchservice.h"

#include "core/log.h"

#include <algorithm>
#include <map>

namespace cyclamenwalk {

namespace {

/// A task whose run was too low is tried with a number this much higher.
constexpr std::uint32_t RunJump = 1000;
constexpr Duration LeastRetryAfter = seconds(1);
constexpr double Percent = 100;
constexpr double GreatestLoggedShare = 100;
/// Placements of a job that agents may send back.
constexpr std::uint32_t MaxSentBack = 3;
/// Agents are told of another pace of reports when there are this many times
/// more of them.
constexpr double PaceGrowth = 1.25;
/// Part of the expected run time below which hardly any task ends.
constexpr double LeastRunPart = 0.4;

int toPercent(double Share) {
  return static_cast<int>(Percent * std::min(Share, GreatestLoggedShare));
}

BatchTaskEvent eventOf(RunOutcome How) {
  switch (How) {
  case RunOutcome::Succeeded:
    return BatchTaskEvent::Succeeded;
  case RunOutcome::Failed:
    return BatchTaskEvent::Failed;
  case RunOutcome::NotStarted:
  case RunOutcome::StaleRun:
    return BatchTaskEvent::NotStarted;
  default:
    return BatchTaskEvent::Interrupted;
  }
}

} // namespace

BatchService::BatchService(Incarnation Own, BatchSettings Settings,
                           BatchHooks Hooks, BatchDependencies Needs)
    : m_Own(Own), m_Settings(Settings), m_Hooks(std::move(Hooks)),
      m_Links(Needs.m_Links), m_Timers(Needs.m_Timers),
      m_Metrics(Needs.m_Metrics), m_TaskChart(bindTask(Needs.m_Charts)),
      m_JobChart(bindJob(Needs.m_Charts)), m_Workers(Own, m_Timers),
      m_SlackControl(m_Hooks.m_SlackControl()) {}

BatchService::~BatchService() {
  for (auto &Known : m_Jobs)
    m_Timers.cancel(Known.second->m_Timer);
}

BatchTaskChart BatchService::bindTask(const IChartSource &Charts) {
  return BatchTaskChart(
      Charts.chart("batchtask"),
      {{"mayTryAgain",
        [](const BatchTask &T) {
          return T.m_Failures + 1 < T.m_Job->m_Spec.m_MaxAttempts;
        }}},
      {{"noteSuccess",
        [](BatchTask &T) {
          T.m_Job->m_HasRun = true;
          ++T.m_Job->m_Succeeded;
        }},
       {"noteFailure",
        [](BatchTask &T) {
          T.m_Job->m_HasRun = true;
          ++T.m_Failures;
        }},
       {"noteInterruption", [](BatchTask &T) { T.m_Job->m_HasRun = true; }},
       {"giveUpFailed",
        [this](BatchTask &T) { giveUp(*T.m_Job, ResultCode::TaskFailed); }},
       {"giveUpUnknown",
        [this](BatchTask &T) { giveUp(*T.m_Job, ResultCode::AgentLost); }}});
}

BatchJobChart BatchService::bindJob(const IChartSource &Charts) {
  return BatchJobChart(
      Charts.chart("batchjob"),
      {{"isComplete",
        [](const BatchJob &J) { return J.m_Succeeded == J.m_Tasks.size(); }}},
      {{"setDeadlineCode",
        [this](BatchJob &J) {
          setCode(J, ResultCode::DeadlineBeforeStart,
                  ResultCode::DeadlineWhileRunning);
        }},
       {"setCancelCode",
        [this](BatchJob &J) {
          setCode(J, ResultCode::CancelledBeforeStart,
                  ResultCode::CancelledWhileRunning);
        }},
       {"stopRest", [this](BatchJob &J) { stopRest(J); }},
       {"answer", [this](BatchJob &J) { answer(J); }}});
}

JobId BatchService::submit(BatchSpec Spec, BatchCallback Done) {
  auto Known = m_ByName.find(Spec.m_Name);
  if (Known != m_ByName.end()) {
    logEvent(LogLevel::Info, "job.joined", {{"job", Spec.m_Name}});
    m_Jobs.at(Known->second)->m_Waiters.push_back(std::move(Done));
    return Known->second;
  }
  BatchJob &Added = addJob(std::move(Spec));
  JobId Id = Added.m_Id;
  Added.m_Waiters.push_back(std::move(Done));
  if (m_Stopping.count(Added.m_Spec.m_Name) > 0) {
    giveUp(Added, ResultCode::EarlierRunsStopping);
    return Id;
  }
  ResultCode Possible = checkPossible(Added.m_Spec);
  if (Possible != ResultCode::Ok) {
    refuse(Added, Possible, LeastRetryAfter);
    return Id;
  }
  PlacementJob Wanted = describePlacement(Added, Added.m_Spec.m_Tasks);
  PlacementPlan Plan = plan(Added, Wanted);
  if (Plan.m_Tasks.empty()) {
    refuse(Added, ResultCode::NoWorker, LeastRetryAfter);
    return Id;
  }
  bool IsInTime = m_Hooks.m_Admission(
      {Plan.m_LongestWait, Plan.m_SlackUse, Wanted.m_StartWithin,
       Added.m_Spec.m_Deadline, Wanted.m_ExpectedRunTime,
       m_Workers.usedShare(Added.m_Spec.m_Service), m_SlackShare,
       Added.m_Spec.m_Priority});
  logEvent(LogLevel::Info, IsInTime ? "job.admitted" : "job.not_admitted",
           {{"job", Added.m_Spec.m_Name},
            {"route", Added.m_Spec.m_Route},
            {"configuration", Added.m_Spec.m_ConfigurationVersion},
            {"tasks", Added.m_Spec.m_Tasks},
            {"millicores", Added.m_Spec.m_Required.m_MilliCores},
            {"estimated_ms", toMilliseconds(Added.m_Spec.m_Estimated)},
            {"deadline_ms", toMilliseconds(Added.m_Spec.m_Deadline)},
            {"wait_ms", toMilliseconds(Plan.m_LongestWait)},
            {"slack_use_percent", toPercent(Plan.m_SlackUse)},
            {"start_within_ms", toMilliseconds(Wanted.m_StartWithin)},
            {"slack_percent", toPercent(m_SlackShare)},
            {"report_age_ms",
             toMilliseconds(m_Workers.oldestReport(Added.m_Spec.m_Service))},
            {"finish_ms", toMilliseconds(Plan.m_Finish)}});
  if (IsInTime)
    sendPlan(Added, Wanted, Plan);
  else
    refuse(Added, ResultCode::DeadlineUnreachable,
           Plan.m_LongestWait - Wanted.m_StartWithin);
  return Id;
}

BatchJob &BatchService::addJob(BatchSpec Spec) {
  JobId Id{m_Own, ++m_LastJob};
  auto Owned = std::make_unique<BatchJob>();
  BatchJob &Added = *Owned;
  Added.m_State = m_JobChart.initial();
  Added.m_Id = Id;
  Added.m_Answer.m_Job = Id;
  Added.m_SubmittedAt = m_Timers.now();
  Added.m_DeadlineAt =
      m_Timers.now() + Spec.m_Deadline - m_Settings.m_AnswerMargin;
  Duration Slack = scaled(Spec.m_Estimated, Spec.m_SlackFactor - 1) +
                   Spec.m_TargetLatency - m_Settings.m_SlackMargin;
  Added.m_StartBy = m_Timers.now() + std::max(Slack, Duration::zero());
  Added.m_Tasks.resize(Spec.m_Tasks);
  for (std::uint32_t I = 0; I < Spec.m_Tasks; ++I) {
    Added.m_Tasks[I].m_State = m_TaskChart.initial();
    Added.m_Tasks[I].m_Job = &Added;
    Added.m_Tasks[I].m_Index = I;
  }
  Added.m_Spec = std::move(Spec);
  Added.m_Timer =
      m_Timers.subscribe(Added.m_DeadlineAt - m_Timers.now(), [this, Id] {
        if (BatchJob *Known = find(Id))
          fireJob(*Known, BatchJobEvent::Deadline);
      });
  m_ByName[Added.m_Spec.m_Name] = Id;
  m_Jobs.emplace(Id, std::move(Owned));
  return Added;
}

ResultCode BatchService::checkPossible(const BatchSpec &Spec) const {
  if (m_Jobs.size() > m_Settings.m_MaxJobs)
    return ResultCode::Overloaded;
  if (!m_Workers.hasAccepting())
    return ResultCode::NoWorker;
  return m_Workers.canHold(Spec.m_Service, Spec.m_Required)
             ? ResultCode::Ok
             : ResultCode::ImpossibleJob;
}

void BatchService::refuse(BatchJob &Refused, ResultCode Code,
                          Duration RetryAfter) {
  Refused.m_Answer.m_RetryAfter = std::max(RetryAfter, LeastRetryAfter);
  giveUp(Refused, Code);
}

PlacementJob BatchService::describePlacement(const BatchJob &Known,
                                             std::uint32_t Tasks) const {
  PlacementJob Wanted;
  Wanted.m_Tasks = Tasks;
  Wanted.m_Required = Known.m_Spec.m_Required;
  auto Slowness = m_Workers.slowness(Known.m_Spec.m_Service);
  Wanted.m_ExpectedRunTime = scaled(Known.m_Spec.m_Estimated, Slowness.m_Mean);
  Wanted.m_NominalRunTime = scaled(Known.m_Spec.m_Estimated, Slowness.m_Least);
  Wanted.m_StartWithin = Known.m_StartBy - m_Timers.now();
  Wanted.m_OrderWithin =
      m_Hooks.m_Order(Wanted.m_StartWithin, Known.m_Spec.m_Priority);
  Wanted.m_Rack = Known.m_Spec.m_Rack;
  Wanted.m_RemotePenalty = m_Settings.m_RemotePenalty;
  return Wanted;
}

PlacementPlan BatchService::plan(const BatchJob &Known,
                                 const PlacementJob &Wanted) {
  const std::string &Service = Known.m_Spec.m_Service;
  auto Elsewhere =
      m_Hooks.m_Placement(m_Workers.views(Service, Known.m_FailedOn), Wanted);
  if (!Elsewhere.m_Tasks.empty() || Known.m_FailedOn.empty())
    return Elsewhere;
  return m_Hooks.m_Placement(m_Workers.views(Service, {}), Wanted);
}

void BatchService::sendPlan(BatchJob &Owner, const PlacementJob &Wanted,
                            const PlacementPlan &Plan) {
  ++Owner.m_Placements;
  std::map<Incarnation, std::vector<BatchTask *>> ByAgent;
  std::map<Incarnation, Duration> Excess;
  auto Next = Plan.m_Tasks.begin();
  for (BatchTask &Known : Owner.m_Tasks) {
    if (Known.m_State != BatchTaskState::Unplaced)
      continue;
    ByAgent[Next->m_Agent].push_back(&Known);
    Excess[Next->m_Agent] = Next->m_Excess;
    ++Next;
  }
  for (auto &Known : ByAgent) {
    PlacementJob There = Wanted;
    There.m_StartWithin -= Excess[Known.first];
    There.m_OrderWithin -= Excess[Known.first];
    sendTo(Known.first, Owner, There, Plan.m_LongestWait, Known.second);
  }
}

void BatchService::sendTo(Incarnation Agent, BatchJob &Owner,
                          const PlacementJob &Wanted, Duration Wait,
                          const std::vector<BatchTask *> &Chosen) {
  PlaceTasks Body;
  Body.m_Job = Owner.m_Id;
  Body.m_Name = Owner.m_Spec.m_BackendName;
  Body.m_Service = Owner.m_Spec.m_Service;
  Body.m_Spec = Owner.m_Spec.m_Spec;
  Body.m_Required = Owner.m_Spec.m_Required;
  Body.m_ExpectedRunTime = Owner.m_Spec.m_Estimated;
  Body.m_StartWithin = Wanted.m_StartWithin;
  Body.m_OrderWithin = Wanted.m_OrderWithin;
  bool MayBeSentBack = Owner.m_Placements <= MaxSentBack;
  Body.m_MaxWait = MayBeSentBack ? Wait + m_Settings.m_WaitTolerance
                                 : Owner.m_Spec.m_Deadline;
  Body.m_Remaining = Owner.m_DeadlineAt - m_Timers.now();
  for (BatchTask *Known : Chosen) {
    m_TaskChart.fire(*Known, BatchTaskEvent::Place);
    Known->m_Agent = Agent;
    Body.m_Tasks.push_back({Known->m_Index, ++Known->m_Run});
  }
  auto Count = static_cast<std::uint32_t>(Chosen.size());
  m_Workers.charge(Agent, Wanted, Count);
  m_Metrics.count(Metric::TasksSent, Count);
  m_Links.send(Agent, std::move(Body));
}

/// Places the tasks whose earlier runs are over, or gives the job up.
void BatchService::placeRest(BatchJob &Owner) {
  auto Unplaced = static_cast<std::uint32_t>(std::count_if(
      Owner.m_Tasks.begin(), Owner.m_Tasks.end(), [](const BatchTask &Known) {
        return Known.m_State == BatchTaskState::Unplaced;
      }));
  if (Unplaced == 0 || Owner.m_State != BatchJobState::Running)
    return;
  PlacementJob Wanted = describePlacement(Owner, Unplaced);
  PlacementPlan Plan = plan(Owner, Wanted);
  Duration Remaining = Owner.m_DeadlineAt - m_Timers.now();
  bool IsOver =
      Plan.m_Tasks.empty() ||
      Plan.m_LongestWait + scaled(Wanted.m_ExpectedRunTime, LeastRunPart) >
          Remaining;
  logEvent(LogLevel::Info, IsOver ? "job.hopeless" : "job.placed_again",
           {{"job", Owner.m_Spec.m_Name},
            {"tasks", Unplaced},
            {"wait_ms", toMilliseconds(Plan.m_LongestWait)},
            {"finish_ms", toMilliseconds(Plan.m_Finish)},
            {"remaining_ms", toMilliseconds(Remaining)}});
  if (!IsOver) {
    m_Metrics.count(Metric::TasksReplaced, Unplaced);
    sendPlan(Owner, Wanted, Plan);
    return;
  }
  Owner.m_Answer.m_RetryAfter = LeastRetryAfter;
  giveUp(Owner, mayHaveRun(Owner) ? ResultCode::DeadlineWhileRunning
                                  : ResultCode::DeadlineUnreachable);
}

void BatchService::abandon(JobId Id) {
  BatchJob *Known = find(Id);
  if (!Known)
    return;
  // Others may wait for the same job.
  ++Known->m_Departed;
  if (Known->m_Departed >= Known->m_Waiters.size())
    fireJob(*Known, BatchJobEvent::Cancel);
}

bool BatchService::cancel(const std::string &Name) {
  auto Known = m_ByName.find(Name);
  if (Known == m_ByName.end())
    return false;
  fireJob(*m_Jobs.at(Known->second), BatchJobEvent::Cancel);
  return true;
}

bool BatchService::isRunning(const std::string &Name) const {
  return m_ByName.count(Name) > 0;
}

std::size_t BatchService::waiting(const std::string &Route) const {
  return static_cast<std::size_t>(
      std::count_if(m_Jobs.begin(), m_Jobs.end(), [&Route](const auto &Known) {
        return Known.second->m_Spec.m_Route == Route && !Known.second->m_HasRun;
      }));
}

void BatchService::agentUp(const Peer &Agent) {
  m_Workers.add(Agent);
  bool HasGrown = static_cast<double>(m_Workers.size()) >
                  PaceGrowth * static_cast<double>(m_PacedFor);
  if (!HasGrown) {
    m_Links.send(Agent.m_Incarnation, pace());
    return;
  }
  m_PacedFor = m_Workers.size();
  for (Incarnation Known : m_Workers.agents())
    m_Links.send(Known, pace());
}

/// Divides the reports that this entry can take among the agents.
ReportInterval BatchService::pace() const {
  return {scaled(seconds(1), static_cast<double>(m_Workers.size()) /
                                 m_Settings.m_ReportsPerSecond)};
}

void BatchService::agentDown(const Peer &Agent) {
  Incarnation Gone = Agent.m_Incarnation;
  m_Workers.remove(Gone);
  std::vector<JobId> Ids;
  for (const auto &Known : m_Jobs)
    Ids.push_back(Known.first);
  for (JobId Id : Ids) {
    BatchJob *Known = find(Id);
    if (!Known)
      continue;
    for (BatchTask &Task : Known->m_Tasks) {
      bool IsThere =
          Task.m_State == BatchTaskState::Placed && Task.m_Agent == Gone;
      // The job ends with its first lost task.
      if (IsThere) {
        m_TaskChart.fire(Task, BatchTaskEvent::Lost);
        break;
      }
    }
  }
}

void BatchService::receive(Incarnation Agent, Message &Body) {
  if (auto *Report = std::get_if<WorkerReport>(&Body)) {
    m_Workers.report(Agent, std::move(*Report));
  } else if (auto *Ends = std::get_if<RunResults>(&Body)) {
    receiveEnds(Agent, *Ends);
  } else if (auto *Late = std::get_if<DeadlineMissForecast>(&Body)) {
    receiveHopeless(Agent, *Late);
  }
}

/// A job that one of its tasks makes late is not worth the room of the others.
void BatchService::receiveHopeless(Incarnation Agent,
                                   const DeadlineMissForecast &Late) {
  BatchJob *Owner = find(Late.m_Job);
  bool IsCurrent = Owner && Late.m_Index < Owner->m_Tasks.size() &&
                   Owner->m_Tasks[Late.m_Index].m_Agent == Agent &&
                   Owner->m_Tasks[Late.m_Index].m_Run == Late.m_Run;
  if (!IsCurrent)
    return;
  logEvent(LogLevel::Info, "job.hopeless",
           {{"job", Owner->m_Spec.m_Name}, {"task", Late.m_Index}});
  giveUp(*Owner, ResultCode::DeadlineWhileRunning);
}

void BatchService::receiveEnds(Incarnation Agent, RunResults &Body) {
  m_Workers.report(Agent, std::move(Body.m_Report));
  std::set<JobId> Touched;
  for (const RunResult &End : Body.m_RunResults) {
    receiveEnd(Agent, End);
    Touched.insert(End.m_Job);
  }
  for (JobId Id : Touched)
    if (BatchJob *Known = find(Id))
      placeRest(*Known);
}

void BatchService::receiveEnd(Incarnation Agent, const RunResult &End) {
  BatchJob *Owner = find(End.m_Job);
  bool IsKnown = Owner && End.m_Index < Owner->m_Tasks.size();
  if (!IsKnown) {
    m_Metrics.count(Metric::LateResults);
    return;
  }
  BatchTask &Ended = Owner->m_Tasks[End.m_Index];
  bool IsCurrent = Ended.m_Agent == Agent && Ended.m_Run == End.m_Run;
  if (!IsCurrent) {
    m_Metrics.count(Metric::LateResults);
    return;
  }
  count(Agent, *Owner, End.m_RunOutcome);
  learnLateness(End);
  if (End.m_RunOutcome == RunOutcome::StaleRun)
    Ended.m_Run += RunJump;
  m_TaskChart.fire(Ended, eventOf(End.m_RunOutcome));
  if (End.m_RunOutcome == RunOutcome::Succeeded)
    fireJob(*Owner, BatchJobEvent::TaskSucceeded);
}

void BatchService::learnLateness(const RunResult &End) {
  bool HasStarted = End.m_RunOutcome != RunOutcome::NotStarted &&
                    End.m_RunOutcome != RunOutcome::StaleRun;
  bool IsLate = End.m_StartMargin < Duration::zero();
  if (HasStarted || IsLate)
    m_SlackShare = m_SlackControl(IsLate);
}

void BatchService::count(Incarnation Agent, BatchJob &Owner, RunOutcome How) {
  switch (How) {
  case RunOutcome::Succeeded:
    m_Metrics.count(Metric::TasksSucceeded);
    return;
  case RunOutcome::Failed:
    m_Metrics.count(Metric::TasksFailed);
    Owner.m_FailedOn.insert(Agent);
    return;
  case RunOutcome::NotStarted:
  case RunOutcome::StaleRun:
    m_Metrics.count(Metric::TasksRefused);
    return;
  default:
    m_Metrics.count(Metric::TasksUnknown);
    Owner.m_FailedOn.insert(Agent);
  }
}

BatchJob *BatchService::find(JobId Id) {
  auto Found = m_Jobs.find(Id);
  return Found == m_Jobs.end() ? nullptr : Found->second.get();
}

void BatchService::fireJob(BatchJob &Changed, BatchJobEvent What) {
  m_JobChart.fire(Changed, What);
}

void BatchService::giveUp(BatchJob &Owner, ResultCode Code) {
  Owner.m_Answer.m_Code = Code;
  fireJob(Owner, BatchJobEvent::GiveUp);
}

bool BatchService::mayHaveRun(const BatchJob &Known) const {
  return Known.m_HasRun ||
         std::any_of(Known.m_Tasks.begin(), Known.m_Tasks.end(),
                     [](const BatchTask &Task) {
                       return Task.m_State != BatchTaskState::Unplaced;
                     });
}

void BatchService::setCode(BatchJob &Ended, ResultCode DidNotRun,
                           ResultCode MayHaveRun) {
  Ended.m_Answer.m_Code = mayHaveRun(Ended) ? MayHaveRun : DidNotRun;
}

/// Stops what is placed, one message for each agent. Until the runs are over
/// the same job, sent again, must not be placed.
void BatchService::stopRest(BatchJob &Failed) {
  std::set<Incarnation> Agents;
  for (const BatchTask &Known : Failed.m_Tasks)
    if (Known.m_State == BatchTaskState::Placed)
      Agents.insert(Known.m_Agent);
  for (Incarnation Agent : Agents)
    m_Links.send(Agent, StopJob{Failed.m_Id});
  if (Agents.empty())
    return;
  auto Noted = m_Stopping.insert(Failed.m_Spec.m_Name);
  m_Timers.subscribe(m_Settings.m_StopTime,
                     [this, Noted] { m_Stopping.erase(Noted); });
}

void BatchService::answer(BatchJob &Ended) {
  m_Timers.cancel(Ended.m_Timer);
  const BatchAnswer &Whole = Ended.m_Answer;
  Duration Taken = m_Timers.now() - Ended.m_SubmittedAt;
  m_Metrics.count(metricOf(Whole.m_Code));
  m_Metrics.observe(Timing::BatchJob, Taken);
  logEvent(LogLevel::Info, "job.answered",
           {{"job", Ended.m_Spec.m_Name},
            {"route", Ended.m_Spec.m_Route},
            {"code", static_cast<int>(Whole.m_Code)},
            {"tasks", Ended.m_Tasks.size()},
            {"succeeded", Ended.m_Succeeded},
            {"taken_ms", toMilliseconds(Taken)}});
  auto Waiters = std::move(Ended.m_Waiters);
  BatchAnswer Given = Whole;
  m_ByName.erase(Ended.m_Spec.m_Name);
  // The job may be in use further up the stack, so it is erased afterwards.
  JobId Id = Ended.m_Id;
  m_Timers.subscribe(Duration::zero(), [this, Id] { m_Jobs.erase(Id); });
  for (const BatchCallback &Done : Waiters)
    Done(Given);
}

bool BatchService::hasWorkers() const { return m_Workers.hasAccepting(); }

std::size_t BatchService::running() const { return m_ByName.size(); }

} // namespace cyclamenwalk
