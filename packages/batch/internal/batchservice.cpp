#include "batch/internal/batchservice.h"

#include "core/log.h"

#include <algorithm>
#include <map>

namespace cyclamenwalk {

namespace {

/// Added to the number of a run that a backend server refused as stale, so that
/// the next run is above the number that the server has seen.
constexpr std::uint32_t StaleRunStep = 1000;
constexpr Duration MinRetryAfter = seconds(1);
/// Placements of a job whose tasks agents may return instead of letting them
/// wait; after that, tasks wait where they are.
constexpr std::uint32_t MaxReturnablePlacements = 3;
/// All agents are told a new report interval when their number has grown by
/// this factor.
constexpr double ReportIntervalUpdateFactor = 1.25;
/// Ratio of the expected run time below which hardly any task ends.
constexpr double MinRunTimeRatio = 0.4;

BatchTaskEvent eventOf(RunOutcome Outcome) {
  switch (Outcome) {
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

BatchService::BatchService(Incarnation Entry, BatchSettings Settings,
                           BatchHooks Hooks, BatchDependencies Dependencies)
    : m_Entry(Entry), m_Settings(Settings), m_Hooks(std::move(Hooks)),
      m_Links(Dependencies.m_Links), m_Timers(Dependencies.m_Timers),
      m_Metrics(Dependencies.m_Metrics),
      m_TaskChart(bindTask(Dependencies.m_Charts)),
      m_JobChart(bindJob(Dependencies.m_Charts)),
      m_Workers(Entry, {m_Settings.m_LearnsSpeeds, m_Settings.m_LookAhead},
                m_Timers),
      m_Admission(m_Settings, m_Hooks, m_Timers, m_Metrics),
      m_StoppingRuns(m_Settings.m_LapseTime, Dependencies.m_Charts, m_Timers) {}

BatchService::~BatchService() {
  for (auto &Item : m_Jobs)
    m_Timers.cancel(Item.second->m_Timer);
}

BatchTaskChart BatchService::bindTask(const IChartSource &Charts) {
  return BatchTaskChart(
      Charts.chart("batchtask"),
      {{"hasAttemptsLeft",
        [](const BatchTask &T) {
          return T.m_FailedRuns + 1 < T.m_Job->m_Spec.m_MaxAttempts;
        }}},
      {{"recordSuccess",
        [](BatchTask &T) {
          T.m_Job->m_HasRun = true;
          ++T.m_Job->m_SucceededTasks;
        }},
       {"recordFailure",
        [](BatchTask &T) {
          T.m_Job->m_HasRun = true;
          ++T.m_FailedRuns;
        }},
       {"recordInterruption", [](BatchTask &T) { T.m_Job->m_HasRun = true; }},
       {"failJobTaskFailed",
        [this](BatchTask &T) { failJob(*T.m_Job, ResultCode::TaskFailed); }},
       {"failJobAgentLost",
        [this](BatchTask &T) { failJob(*T.m_Job, ResultCode::AgentLost); }}});
}

BatchJobChart BatchService::bindJob(const IChartSource &Charts) {
  return BatchJobChart(
      Charts.chart("batchjob"),
      {{"haveAllTasksSucceeded",
        [](const BatchJob &J) {
          return J.m_SucceededTasks == J.m_Tasks.size();
        }}},
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
       {"stopPlacedTasks", [this](BatchJob &J) { stopPlacedTasks(J); }},
       {"answerCallers", [this](BatchJob &J) { answerCallers(J); }}});
}

JobId BatchService::submit(BatchSpec Spec, BatchCallback Callback) {
  auto It = m_JobsByName.find(Spec.m_Name);
  if (It != m_JobsByName.end()) {
    logEvent(LogLevel::Info, "job.joined", {{"job", Spec.m_Name}});
    m_Jobs.at(It->second)->m_Callbacks.push_back(std::move(Callback));
    return It->second;
  }
  BatchJob &Job = addJob(std::move(Spec));
  JobId Id = Job.m_Id;
  Job.m_Callbacks.push_back(std::move(Callback));
  if (isStopping(Job.m_Spec.m_Name)) {
    failJob(Job, ResultCode::EarlierRunsStopping);
    return Id;
  }
  ResultCode Feasibility = checkFeasibility(Job.m_Spec);
  if (Feasibility != ResultCode::Ok) {
    refuse(Job, Feasibility, MinRetryAfter);
    return Id;
  }
  PlacementJob Request = placementRequest(Job, Job.m_Spec.m_Tasks);
  PlacementPlan Plan = plan(Job, Request);
  if (Plan.m_Tasks.empty()) {
    refuse(Job, ResultCode::NoWorker, MinRetryAfter);
    return Id;
  }
  if (m_Admission.admit(Job, Request, Plan, m_Workers))
    sendPlan(Job, Request, Plan);
  else
    refuse(Job, ResultCode::DeadlineUnreachable,
           Plan.m_LongestWait - Request.m_StartWithin);
  return Id;
}

BatchJob &BatchService::addJob(BatchSpec Spec) {
  JobId Id{m_Entry, ++m_LastJob};
  auto NewJob = std::make_unique<BatchJob>();
  BatchJob &Job = *NewJob;
  Job.m_State = m_JobChart.initial();
  Job.m_Id = Id;
  Job.m_Answer.m_Job = Id;
  Job.m_SubmittedAt = m_Timers.now();
  Job.m_DeadlineAt =
      m_Timers.now() + Spec.m_Deadline - Spec.m_Age - m_Settings.m_AnswerMargin;
  Duration Slack = scaled(Spec.m_EstimatedRunTime, Spec.m_SlackFactor - 1) +
                   Spec.m_TargetLatency - m_Settings.m_SlackMargin - Spec.m_Age;
  Job.m_LatestStart = m_Timers.now() + std::max(Slack, Duration::zero());
  Job.m_Tasks.resize(Spec.m_Tasks);
  for (std::uint32_t I = 0; I < Spec.m_Tasks; ++I) {
    Job.m_Tasks[I].m_State = m_TaskChart.initial();
    Job.m_Tasks[I].m_Job = &Job;
    Job.m_Tasks[I].m_Index = I;
  }
  Job.m_Spec = std::move(Spec);
  Job.m_Timer =
      m_Timers.subscribe(Job.m_DeadlineAt - m_Timers.now(), [this, Id] {
        if (BatchJob *Expired = find(Id))
          fireJobEvent(*Expired, BatchJobEvent::Deadline);
      });
  m_JobsByName[Job.m_Spec.m_Name] = Id;
  m_Jobs.emplace(Id, std::move(NewJob));
  return Job;
}

ResultCode BatchService::checkFeasibility(const BatchSpec &Spec) const {
  if (m_Jobs.size() > m_Settings.m_MaxJobs)
    return ResultCode::Overloaded;
  if (!m_Workers.hasAccepting())
    return ResultCode::NoWorker;
  return m_Workers.canHold(Spec.m_Service, Spec.m_Required)
             ? ResultCode::Ok
             : ResultCode::ImpossibleJob;
}

void BatchService::refuse(BatchJob &Job, ResultCode Code, Duration RetryAfter) {
  Job.m_Answer.m_RetryAfter = std::max(RetryAfter, MinRetryAfter);
  failJob(Job, Code);
}

PlacementJob BatchService::placementRequest(const BatchJob &Job,
                                            std::uint32_t Tasks) const {
  PlacementJob Request;
  Request.m_Tasks = Tasks;
  Request.m_Required = Job.m_Spec.m_Required;
  auto Slowness = m_Workers.serviceSlowness(Job.m_Spec.m_Service);
  Request.m_ExpectedRunTime =
      scaled(Job.m_Spec.m_EstimatedRunTime, Slowness.m_Mean);
  Request.m_NominalRunTime =
      scaled(Job.m_Spec.m_EstimatedRunTime, Slowness.m_FastestKind);
  Request.m_StartWithin = Job.m_LatestStart - m_Timers.now();
  Request.m_OrderWithin =
      m_Hooks.m_Order(Request.m_StartWithin, Job.m_Spec.m_Priority);
  Request.m_Rack = Job.m_Spec.m_Rack;
  Request.m_RemotePenalty = m_Settings.m_RemotePenalty;
  return Request;
}

PlacementPlan BatchService::plan(const BatchJob &Job,
                                 const PlacementJob &Request) {
  const std::string &Service = Job.m_Spec.m_Service;
  auto Plan = m_Hooks.m_Placement(
      m_Workers.candidates(Service, Request, Job.m_AvoidedAgents), Request);
  bool AreAllTried = Job.m_AvoidedAgents.empty() && !m_Settings.m_LookAhead;
  if (!Plan.m_Tasks.empty() || AreAllTried)
    return Plan;
  return m_Hooks.m_Placement(m_Workers.placementWorkers(Service, {}), Request);
}

void BatchService::sendPlan(BatchJob &Job, const PlacementJob &Request,
                            const PlacementPlan &Plan) {
  ++Job.m_PlacementCount;
  std::map<Incarnation, std::vector<BatchTask *>> TasksByAgent;
  std::map<Incarnation, Duration> ExtraRunTimes;
  auto Planned = Plan.m_Tasks.begin();
  for (BatchTask &Task : Job.m_Tasks) {
    if (Task.m_State != BatchTaskState::Unplaced)
      continue;
    TasksByAgent[Planned->m_Agent].push_back(&Task);
    ExtraRunTimes[Planned->m_Agent] = Planned->m_ExtraRunTime;
    ++Planned;
  }
  for (auto &Item : TasksByAgent) {
    PlacementJob AgentRequest = Request;
    AgentRequest.m_StartWithin -= ExtraRunTimes[Item.first];
    AgentRequest.m_OrderWithin -= ExtraRunTimes[Item.first];
    sendTasks(Item.first, Job, AgentRequest, Plan.m_LongestWait, Item.second);
  }
}

void BatchService::sendTasks(Incarnation Agent, BatchJob &Job,
                             const PlacementJob &Request, Duration Wait,
                             const std::vector<BatchTask *> &Tasks) {
  PlaceTasks Body;
  Body.m_Job = Job.m_Id;
  Body.m_Name = Job.m_Spec.m_BackendName;
  Body.m_Service = Job.m_Spec.m_Service;
  Body.m_Spec = Job.m_Spec.m_Spec;
  Body.m_Required = Job.m_Spec.m_Required;
  Body.m_ExpectedRunTime = Job.m_Spec.m_EstimatedRunTime;
  Body.m_StartWithin = Request.m_StartWithin;
  Body.m_OrderWithin = Request.m_OrderWithin;
  bool IsReturnable = Job.m_PlacementCount <= MaxReturnablePlacements;
  Body.m_MaxWait =
      IsReturnable ? Wait + m_Settings.m_WaitTolerance : Job.m_Spec.m_Deadline;
  Body.m_Remaining = Job.m_DeadlineAt - m_Timers.now();
  for (BatchTask *Task : Tasks) {
    m_TaskChart.fire(*Task, BatchTaskEvent::Place);
    Task->m_Agent = Agent;
    Body.m_Tasks.push_back({Task->m_Index, ++Task->m_Run});
  }
  auto Count = static_cast<std::uint32_t>(Tasks.size());
  m_Workers.addPlacement(Agent, Request, Count);
  m_Metrics.count(Metric::TasksSent, Count);
  m_Links.send(Agent, std::move(Body));
}

/// Places the tasks whose earlier runs have ended, or fails the job if it would
/// exceed its deadline.
void BatchService::placeUnplacedTasks(BatchJob &Job) {
  auto Unplaced = static_cast<std::uint32_t>(std::count_if(
      Job.m_Tasks.begin(), Job.m_Tasks.end(), [](const BatchTask &Task) {
        return Task.m_State == BatchTaskState::Unplaced;
      }));
  if (Unplaced == 0 || Job.m_State != BatchJobState::Running)
    return;
  PlacementJob Request = placementRequest(Job, Unplaced);
  PlacementPlan Plan = plan(Job, Request);
  Duration Remaining = Job.m_DeadlineAt - m_Timers.now();
  bool IsUnreachable =
      Plan.m_Tasks.empty() ||
      Plan.m_LongestWait + scaled(Request.m_ExpectedRunTime, MinRunTimeRatio) >
          Remaining;
  logEvent(LogLevel::Info,
           IsUnreachable ? "job.deadline_unreachable" : "job.placed_again",
           {{"job", Job.m_Spec.m_Name},
            {"tasks", Unplaced},
            {"wait_ms", toMilliseconds(Plan.m_LongestWait)},
            {"finish_ms", toMilliseconds(Plan.m_FinishWithin)},
            {"remaining_ms", toMilliseconds(Remaining)}});
  if (!IsUnreachable) {
    m_Metrics.count(Metric::TasksReplaced, Unplaced);
    sendPlan(Job, Request, Plan);
    return;
  }
  Job.m_Answer.m_RetryAfter = MinRetryAfter;
  failJob(Job, mayHaveRun(Job) ? ResultCode::DeadlineWhileRunning
                               : ResultCode::DeadlineUnreachable);
}

void BatchService::removeCaller(JobId Id) {
  BatchJob *Job = find(Id);
  if (!Job)
    return;
  // The job continues while other callers wait for it.
  ++Job->m_DisconnectedCallers;
  if (Job->m_DisconnectedCallers >= Job->m_Callbacks.size())
    fireJobEvent(*Job, BatchJobEvent::Cancel);
}

bool BatchService::cancel(const std::string &Name) {
  auto It = m_JobsByName.find(Name);
  if (It == m_JobsByName.end())
    return false;
  fireJobEvent(*m_Jobs.at(It->second), BatchJobEvent::Cancel);
  return true;
}

bool BatchService::isRunning(const std::string &Name) const {
  return m_JobsByName.count(Name) > 0;
}

std::size_t BatchService::waiting(const std::string &Route) const {
  return static_cast<std::size_t>(
      std::count_if(m_Jobs.begin(), m_Jobs.end(), [&Route](const auto &Item) {
        return Item.second->m_Spec.m_Route == Route && !Item.second->m_HasRun;
      }));
}

void BatchService::agentUp(const Peer &Agent) {
  m_Workers.add(Agent);
  bool HasGrown =
      static_cast<double>(m_Workers.size()) >
      ReportIntervalUpdateFactor * static_cast<double>(m_AnnouncedAgentCount);
  if (!HasGrown) {
    m_Links.send(Agent.m_Incarnation, reportInterval());
    return;
  }
  m_AnnouncedAgentCount = m_Workers.size();
  for (Incarnation Id : m_Workers.agents())
    m_Links.send(Id, reportInterval());
}

/// Divides the reports that this entry can process among the agents.
ReportInterval BatchService::reportInterval() const {
  return {scaled(seconds(1), static_cast<double>(m_Workers.size()) /
                                 m_Settings.m_MaxReportsPerSecond)};
}

void BatchService::agentDown(const Peer &Agent) {
  Incarnation LostAgent = Agent.m_Incarnation;
  m_Workers.remove(LostAgent);
  m_StoppingRuns.agentLost(LostAgent);
  std::vector<JobId> Ids;
  for (const auto &Item : m_Jobs)
    Ids.push_back(Item.first);
  for (JobId Id : Ids) {
    BatchJob *Job = find(Id);
    if (!Job)
      continue;
    for (BatchTask &Task : Job->m_Tasks) {
      bool IsLost =
          Task.m_State == BatchTaskState::Placed && Task.m_Agent == LostAgent;
      // The first lost task fails the job.
      if (IsLost) {
        m_TaskChart.fire(Task, BatchTaskEvent::Lost);
        break;
      }
    }
  }
}

void BatchService::receive(Incarnation Agent, Message &Body) {
  if (auto *Report = std::get_if<WorkerReport>(&Body)) {
    m_Workers.updateReport(Agent, std::move(*Report));
  } else if (auto *Results = std::get_if<RunResults>(&Body)) {
    receiveResults(Agent, *Results);
  } else if (auto *Forecast = std::get_if<DeadlineMissForecast>(&Body)) {
    receiveForecast(Agent, *Forecast);
  }
}

/// Fails a job of which one task can't end before the deadline, to free the
/// resources of its other tasks.
void BatchService::receiveForecast(Incarnation Agent,
                                   const DeadlineMissForecast &Forecast) {
  BatchJob *Job = find(Forecast.m_Job);
  bool IsCurrent = Job && Forecast.m_Index < Job->m_Tasks.size() &&
                   Job->m_Tasks[Forecast.m_Index].m_Agent == Agent &&
                   Job->m_Tasks[Forecast.m_Index].m_Run == Forecast.m_Run;
  if (!IsCurrent)
    return;
  logEvent(LogLevel::Info, "job.deadline_unreachable",
           {{"job", Job->m_Spec.m_Name}, {"task", Forecast.m_Index}});
  failJob(*Job, ResultCode::DeadlineWhileRunning);
}

void BatchService::receiveResults(Incarnation Agent, RunResults &Body) {
  m_Workers.updateReport(Agent, std::move(Body.m_Report));
  std::set<JobId> ChangedJobs;
  for (const RunResult &Result : Body.m_RunResults) {
    receiveResult(Agent, Result);
    ChangedJobs.insert(Result.m_Job);
  }
  for (JobId Id : ChangedJobs)
    if (BatchJob *Job = find(Id))
      placeUnplacedTasks(*Job);
}

void BatchService::receiveResult(Incarnation Agent, const RunResult &Result) {
  if (m_StoppingRuns.receiveResult(Agent, Result))
    return;
  BatchJob *Job = find(Result.m_Job);
  bool HasTask = Job && Result.m_Index < Job->m_Tasks.size();
  if (!HasTask) {
    m_Metrics.count(Metric::LateResults);
    return;
  }
  BatchTask &Task = Job->m_Tasks[Result.m_Index];
  bool IsCurrent = Task.m_Agent == Agent && Task.m_Run == Result.m_Run;
  if (!IsCurrent) {
    m_Metrics.count(Metric::LateResults);
    return;
  }
  countResult(Agent, *Job, Result.m_RunOutcome);
  m_Admission.recordResult(*Job, Result);
  if (Result.m_RunOutcome == RunOutcome::StaleRun)
    Task.m_Run += StaleRunStep;
  m_TaskChart.fire(Task, eventOf(Result.m_RunOutcome));
  if (Result.m_RunOutcome == RunOutcome::Succeeded)
    fireJobEvent(*Job, BatchJobEvent::TaskSucceeded);
}

void BatchService::countResult(Incarnation Agent, BatchJob &Job,
                               RunOutcome Outcome) {
  switch (Outcome) {
  case RunOutcome::Succeeded:
    m_Metrics.count(Metric::TasksSucceeded);
    return;
  case RunOutcome::Failed:
    m_Metrics.count(Metric::TasksFailed);
    Job.m_AvoidedAgents.insert(Agent);
    return;
  case RunOutcome::NotStarted:
  case RunOutcome::StaleRun:
    m_Metrics.count(Metric::TasksRefused);
    return;
  default:
    m_Metrics.count(Metric::TasksUnknown);
    Job.m_AvoidedAgents.insert(Agent);
  }
}

BatchJob *BatchService::find(JobId Id) {
  auto It = m_Jobs.find(Id);
  return It == m_Jobs.end() ? nullptr : It->second.get();
}

void BatchService::fireJobEvent(BatchJob &Job, BatchJobEvent Event) {
  m_JobChart.fire(Job, Event);
}

void BatchService::failJob(BatchJob &Job, ResultCode Code) {
  Job.m_Answer.m_Code = Code;
  fireJobEvent(Job, BatchJobEvent::Fail);
}

bool BatchService::mayHaveRun(const BatchJob &Job) const {
  return Job.m_HasRun ||
         std::any_of(Job.m_Tasks.begin(), Job.m_Tasks.end(),
                     [](const BatchTask &Task) {
                       return Task.m_State != BatchTaskState::Unplaced;
                     });
}

void BatchService::setCode(BatchJob &Job, ResultCode DidNotRun,
                           ResultCode MayHaveRun) {
  Job.m_Answer.m_Code = mayHaveRun(Job) ? MayHaveRun : DidNotRun;
}

/// Sends one StopJob to each agent with placed tasks. Until their runs have
/// ended, a job of the same name must not be placed.
void BatchService::stopPlacedTasks(BatchJob &Job) {
  std::set<Incarnation> Agents;
  for (const BatchTask &Task : Job.m_Tasks) {
    bool MayBeInProgress = Task.m_State == BatchTaskState::Placed ||
                           Task.m_State == BatchTaskState::Unknown;
    if (!MayBeInProgress)
      continue;
    Agents.insert(Task.m_Agent);
    m_StoppingRuns.add(Task, !m_Workers.contains(Task.m_Agent));
  }
  for (Incarnation Agent : Agents)
    m_Links.send(Agent, StopJob{Job.m_Id});
}

bool BatchService::isStopping(const std::string &Name) const {
  return m_StoppingRuns.hasRunsOf(Name);
}

void BatchService::answerCallers(BatchJob &Job) {
  m_Timers.cancel(Job.m_Timer);
  const BatchAnswer &Answer = Job.m_Answer;
  m_Admission.recordEnd(Job);
  Duration JobTime = m_Timers.now() - Job.m_SubmittedAt;
  m_Metrics.count(jobMetricOf(Answer.m_Code));
  m_Metrics.observe(Timing::BatchJob, JobTime);
  logEvent(LogLevel::Info, "job.answered",
           {{"job", Job.m_Spec.m_Name},
            {"route", Job.m_Spec.m_Route},
            {"code", static_cast<int>(Answer.m_Code)},
            {"tasks", Job.m_Tasks.size()},
            {"succeeded", Job.m_SucceededTasks},
            {"job_time_ms", toMilliseconds(JobTime)}});
  auto Callbacks = std::move(Job.m_Callbacks);
  BatchAnswer AnswerCopy = Answer;
  m_JobsByName.erase(Job.m_Spec.m_Name);
  // Callers up the stack may still use the job, so it is erased later.
  JobId Id = Job.m_Id;
  m_Timers.subscribe(Duration::zero(), [this, Id] { m_Jobs.erase(Id); });
  for (const BatchCallback &Callback : Callbacks)
    Callback(AnswerCopy);
}

bool BatchService::hasWorkers() const { return m_Workers.hasAccepting(); }

std::vector<ServiceRoom> BatchService::rooms() const {
  return m_Workers.rooms();
}

std::vector<GroupWork> BatchService::groupWork() const {
  return m_Admission.groupWork();
}

void BatchService::receiveGroupWork(Incarnation Entry,
                                    const std::vector<GroupWork> &Work) {
  m_Admission.receiveGroupWork(Entry, Work);
}

std::size_t BatchService::running() const { return m_JobsByName.size(); }

} // namespace cyclamenwalk
