#include "job/internal/jobservice.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

bool mayHaveRun(const Job &J) { return J.m_InFlight > 0 || J.m_Ran > 0; }

/// Returns the job event for a task that has ended, or nothing before that.
std::optional<JobEvent> toJobEvent(TaskState State) {
  switch (State) {
  case TaskState::Succeeded:
    return JobEvent::TaskSucceeded;
  case TaskState::Failed:
    return JobEvent::TaskFailed;
  case TaskState::Unknown:
    return JobEvent::TaskUnknown;
  case TaskState::Refused:
    return JobEvent::TaskRefused;
  default:
    return std::nullopt;
  }
}

TaskEvent toTaskEvent(ResultCode Code) {
  if (Code == ResultCode::Ok)
    return TaskEvent::Succeeded;
  return outcomeOf(Code) == Outcome::OutcomeUnknown ? TaskEvent::Lost
                                                    : TaskEvent::Failed;
}

} // namespace

JobService::JobService(Incarnation Entry, JobSettings Settings,
                       PolicyHooks Hooks, EntryShareSource Share,
                       JobDependencies Dependencies)
    : m_Entry(Entry), m_Settings(Settings), m_Hooks(std::move(Hooks)),
      m_Share(std::move(Share)), m_Links(Dependencies.m_Links),
      m_Configuration(Dependencies.m_Configuration),
      m_Timers(Dependencies.m_Timers), m_Metrics(Dependencies.m_Metrics),
      m_TaskChart(bindTaskChart(Dependencies.m_Charts)),
      m_JobChart(bindJobChart(Dependencies.m_Charts)),
      m_RunTimes(makeRunTimes()),
      m_Health(makeWorkerHealth(m_Hooks.m_FailureTest, Dependencies.m_Charts,
                                m_Timers, m_Metrics)),
      m_RetryBudget(makeRetryBudget()), m_Jobs(Settings.m_MaxAnswerBytes),
      m_Admission(m_Hooks.m_Admission, m_Share, m_Configuration, m_Agents,
                  *m_RunTimes) {
  m_Health->onLimitChanged([this](Incarnation Worker, std::uint32_t Limit) {
    if (LinkedAgent *Agent = m_Agents.find(Worker)) {
      Dispatcher &ServiceDispatcher = dispatcher(Agent->m_Backend.m_Service);
      ServiceDispatcher.ledger().setLimit(Worker, Limit);
      ServiceDispatcher.dispatch();
    }
  });
}

JobService::~JobService() = default;

TaskChart JobService::bindTaskChart(const IChartSource &Charts) {
  return TaskChart(
      Charts.chart("task"),
      {{"hasAttemptsLeft",
        [this](const Task &T) {
          return T.m_Attempts < m_Settings.m_MaxAttempts;
        }}},
      {{"countStart",
        [](Task &T) {
          ++T.m_Attempts;
          ++T.m_Job->m_InFlight;
        }},
       {"decrementInFlight", [](Task &T) { --T.m_Job->m_InFlight; }},
       {"countSuccess", [](Task &T) { ++T.m_Job->m_Succeeded; }},
       {"countRun", [](Task &T) { ++T.m_Job->m_Ran; }},
       {"setRefusalCode",
        [](Task &T) {
          T.m_Code = mayHaveRun(*T.m_Job) ? ResultCode::PartlyRefused
                                          : ResultCode::RetryBudgetSpent;
        }},
       {"requeueRefusedTask", [this](Task &T) { requeueRefusedTask(T); }}});
}

JobChart JobService::bindJobChart(const IChartSource &Charts) {
  auto SetCode = [](ResultCode BeforeStart, ResultCode WhileRunning) {
    return [BeforeStart, WhileRunning](Job &J) {
      J.m_Answer.m_Code = mayHaveRun(J) ? WhileRunning : BeforeStart;
    };
  };
  return JobChart(
      Charts.chart("job"),
      {{"isComplete",
        [](const Job &J) { return J.m_Succeeded == J.m_Tasks.size(); }}},
      {{"setDeadlineCode", SetCode(ResultCode::DeadlineBeforeStart,
                                   ResultCode::DeadlineWhileRunning)},
       {"setCancelCode", SetCode(ResultCode::CancelledBeforeStart,
                                 ResultCode::CancelledWhileRunning)},
       {"stopRemainingTasks", [this](Job &J) { stopRemainingTasks(J); }},
       {"deliverAnswer", [this](Job &J) { deliverAnswer(J); }}});
}

JobId JobService::reserve() { return JobId{m_Entry, ++m_LastSequence}; }

ResultCode JobService::checkAdmission(const JobSpec &Spec) {
  if (m_Jobs.running() >= m_Settings.m_MaxJobs)
    return ResultCode::Overloaded;
  ResultCode Code = m_Admission.validate(Spec);
  if (Code != ResultCode::Ok)
    return Code;
  return m_Admission.checkLoad(Spec, dispatcher(Spec.m_Service));
}

void JobService::submitWithId(JobId Id, JobSpec Spec, JobCallback Done) {
  ResultCode Code = checkAdmission(Spec);
  if (Code != ResultCode::Ok) {
    m_Metrics.count(Metric::JobsRefused);
    Done({Id, Code, std::string(describe(Code).m_Text), {}});
    return;
  }
  Job &NewJob = m_Jobs.add(Id);
  NewJob.m_Waiters.push_back(std::move(Done));
  startJob(NewJob, std::move(Spec));
}

void JobService::startJob(Job &NewJob, JobSpec Spec) {
  Duration Deadline = m_Admission.deadlineOf(Spec);
  m_Metrics.count(Metric::JobsAccepted);
  NewJob.m_State = m_JobChart.initial();
  NewJob.m_Spec = std::move(Spec);
  NewJob.m_ConfigurationVersion = m_Configuration.version();
  NewJob.m_DeadlineAt = m_Timers.now() + Deadline;
  NewJob.m_Answer.m_Job = NewJob.m_Id;
  auto TaskCount = static_cast<std::uint32_t>(NewJob.m_Spec.m_Payloads.size());
  NewJob.m_Tasks.resize(TaskCount);
  for (Task &NewTask : NewJob.m_Tasks) {
    NewTask.m_State = m_TaskChart.initial();
    NewTask.m_Job = &NewJob;
  }
  for (std::uint32_t I = TaskCount; I > 0; --I)
    NewJob.m_Waiting.push_back(I - 1);
  JobId Id = NewJob.m_Id;
  NewJob.m_Timer = m_Timers.subscribe(Deadline, [this, Id] {
    if (Job *LateJob = m_Jobs.find(Id))
      fireJob(*LateJob, JobEvent::Deadline);
  });
  Duration TaskTime = m_Admission.expectedTaskTime(NewJob.m_Spec);
  const auto &Service =
      m_Configuration.state().m_Services.at(NewJob.m_Spec.m_Service);
  NewJob.m_IsLong = TaskTime >= Service.m_LongThreshold;
  Dispatcher &ServiceDispatcher = dispatcher(NewJob.m_Spec.m_Service);
  ServiceDispatcher.queue().add(
      {Id, NewJob.m_Spec.m_Team, TaskTime, NewJob.m_IsLong, TaskCount},
      m_Timers.now());
  ServiceDispatcher.dispatch();
}

bool JobService::wait(JobId Id, JobCallback Done) {
  Job *ExistingJob = m_Jobs.find(Id);
  if (!ExistingJob)
    return false;
  if (ExistingJob->m_State == JobState::Running)
    ExistingJob->m_Waiters.push_back(std::move(Done));
  else
    Done(ExistingJob->m_Answer);
  return true;
}

bool JobService::cancel(JobId Id) {
  Job *ExistingJob = m_Jobs.find(Id);
  if (!ExistingJob || ExistingJob->m_State != JobState::Running)
    return false;
  fireJob(*ExistingJob, JobEvent::Cancel);
  return true;
}

void JobService::startNextTask(JobId Id) {
  Job &OwningJob = *m_Jobs.find(Id);
  Duration Remaining = OwningJob.m_DeadlineAt - m_Timers.now();
  bool IsDeadlineUnreachable =
      !mayHaveRun(OwningJob) &&
      !m_Admission.canMeetDeadline(OwningJob.m_Spec, Remaining);
  if (IsDeadlineUnreachable) {
    releaseQuota(OwningJob.m_Spec.m_Service, OwningJob.m_Spec.m_Team);
    fireJob(OwningJob, JobEvent::Deadline);
    return;
  }
  ICreditLedger &Ledger = dispatcher(OwningJob.m_Spec.m_Service).ledger();
  auto SpentCredit = Ledger.take(OwningJob.m_IsLong);
  std::uint32_t Index = OwningJob.m_Waiting.back();
  OwningJob.m_Waiting.pop_back();
  sendStart(OwningJob, Index, *SpentCredit);
}

void JobService::sendStart(Job &OwningJob, std::uint32_t Index,
                           const AgentCredit &SpentCredit) {
  Task &StartedTask = OwningJob.m_Tasks[Index];
  StartedTask.m_Agent = SpentCredit.m_Agent;
  m_TaskChart.fire(StartedTask, TaskEvent::Send);
  m_RetryBudget->recordStart();
  m_Metrics.count(Metric::TasksSent);
  TaskId StartedId{OwningJob.m_Id, Index};
  m_Agents.find(SpentCredit.m_Agent)
      ->m_InFlight.emplace(
          StartedId, SentTask{SpentCredit.m_Credit, OwningJob.m_Spec.m_Team});
  Start StartMessage;
  StartMessage.m_Task = StartedId;
  StartMessage.m_Credit = SpentCredit.m_Credit;
  StartMessage.m_ConfigurationVersion = OwningJob.m_ConfigurationVersion;
  StartMessage.m_Service = OwningJob.m_Spec.m_Service;
  StartMessage.m_Kind = OwningJob.m_Spec.m_Kind;
  StartMessage.m_Payload = OwningJob.m_Spec.m_Payloads[Index];
  StartMessage.m_Remaining = OwningJob.m_DeadlineAt - m_Timers.now();
  StartMessage.m_IsLong = OwningJob.m_IsLong;
  StartMessage.m_Demand = dispatcher(OwningJob.m_Spec.m_Service).demand();
  m_Links.send(SpentCredit.m_Agent, std::move(StartMessage));
}

void JobService::requeueRefusedTask(Task &RefusedTask) {
  m_Metrics.count(Metric::TasksReplaced);
  Job &OwningJob = *RefusedTask.m_Job;
  auto Index =
      static_cast<std::uint32_t>(&RefusedTask - OwningJob.m_Tasks.data());
  JobId Id = OwningJob.m_Id;
  Duration Delay = m_RetryBudget->takeRetryDelay();
  std::string Service = OwningJob.m_Spec.m_Service;
  std::string Team = OwningJob.m_Spec.m_Team;
  if (Delay == Duration::zero()) {
    // The caller dispatches next. Starting the task here would fire an event
    // within this transition.
    requeueTask(Id, Index, Service, Team);
    return;
  }
  std::weak_ptr<bool> Alive = m_Alive;
  m_Timers.subscribe(Delay, [=, this] {
    if (Alive.expired())
      return;
    requeueTask(Id, Index, Service, Team);
    dispatcher(Service).dispatch();
  });
}

void JobService::requeueTask(JobId Id, std::uint32_t Index,
                             const std::string &Service,
                             const std::string &Team) {
  Job *OwningJob = m_Jobs.find(Id);
  if (!OwningJob || OwningJob->m_State != JobState::Running) {
    releaseQuota(Service, Team);
    return;
  }
  OwningJob->m_Waiting.push_back(Index);
  dispatcher(Service).queue().requeue(Id);
}

void JobService::agentUp(const Peer &Agent) { m_Agents.add(Agent); }

void JobService::agentDown(const Peer &Agent) {
  LinkedAgent *DownAgent = m_Agents.find(Agent.m_Incarnation);
  if (!DownAgent)
    return;
  LinkedAgent LostAgent = std::move(*DownAgent);
  m_Agents.erase(Agent.m_Incarnation);
  m_Health->remove(Agent.m_Incarnation);
  const std::string &Service = LostAgent.m_Backend.m_Service;
  // Without a backend server the agent has issued no credits.
  if (Service.empty())
    return;
  dispatcher(Service).ledger().removeAgent(Agent.m_Incarnation);
  dispatcher(Service).removeAgent(Agent.m_Incarnation);
  for (const auto &IdAndTask : LostAgent.m_InFlight) {
    m_Metrics.count(Metric::TasksUnknown);
    releaseQuota(Service, IdAndTask.second.m_Team);
    Job *OwningJob = m_Jobs.find(IdAndTask.first.m_Job);
    if (!OwningJob)
      continue;
    Task &LostTask = OwningJob->m_Tasks[IdAndTask.first.m_Index];
    LostTask.m_Code = ResultCode::AgentLost;
    fireTask(LostTask, TaskEvent::Lost);
  }
  dispatcher(Service).dispatch();
}

void JobService::receive(Incarnation Agent, Message &Body) {
  LinkedAgent *From = m_Agents.find(Agent);
  if (!From)
    return;
  if (auto *Done = std::get_if<TaskDone>(&Body)) {
    receiveDone(*From, *Done);
  } else if (auto *Refusal = std::get_if<StartRefused>(&Body)) {
    receiveRefusal(*From, *Refusal);
  } else if (auto *Grant = std::get_if<CreditGrant>(&Body)) {
    Dispatcher &ServiceDispatcher = dispatcher(From->m_Backend.m_Service);
    ServiceDispatcher.addCredits(Agent, Grant->m_Credits);
    ServiceDispatcher.dispatch();
  } else if (auto *Withdrawal = std::get_if<CreditWithdraw>(&Body)) {
    for (CreditId Id : Withdrawal->m_Credits)
      dispatcher(From->m_Backend.m_Service).ledger().withdraw(Agent, Id);
  } else if (auto *State = std::get_if<BackendState>(&Body)) {
    receiveState(*From, *State);
  }
}

void JobService::receiveState(LinkedAgent &From, const BackendState &State) {
  Incarnation Agent = From.m_Peer.m_Incarnation;
  bool IsNewService = From.m_Backend.m_Service != State.m_Service;
  if (IsNewService && !From.m_Backend.m_Service.empty())
    dispatcher(From.m_Backend.m_Service).removeAgent(Agent);
  From.m_Backend = State;
  Dispatcher &ServiceDispatcher = dispatcher(State.m_Service);
  if (State.m_IsLeaving)
    ServiceDispatcher.removeAgent(Agent);
  else
    ServiceDispatcher.addAgent(Agent, State.m_Slots);
  if (IsNewService)
    m_Health->add(Agent, State.m_Service);
}

/// Removes a task from the tasks in flight at the agent and returns it. Returns
/// null if the agent was not sent this task with this credit, or if the job no
/// longer exists.
Task *JobService::takeInFlightTask(LinkedAgent &From, TaskId Id,
                                   CreditId Credit) {
  auto It = From.m_InFlight.find(Id);
  bool IsExpected =
      It != From.m_InFlight.end() && It->second.m_Credit == Credit;
  if (!IsExpected) {
    m_Metrics.count(Metric::LateResults);
    return nullptr;
  }
  std::string Team = It->second.m_Team;
  From.m_InFlight.erase(It);
  const std::string &Service = From.m_Backend.m_Service;
  dispatcher(Service).ledger().taskEnded(From.m_Peer.m_Incarnation);
  Job *OwningJob = m_Jobs.find(Id.m_Job);
  bool HasJobEnded = !OwningJob || OwningJob->m_State != JobState::Running;
  if (HasJobEnded)
    releaseQuota(Service, Team);
  return OwningJob ? &OwningJob->m_Tasks[Id.m_Index] : nullptr;
}

void JobService::receiveDone(LinkedAgent &From, TaskDone &Done) {
  Dispatcher &ServiceDispatcher = dispatcher(From.m_Backend.m_Service);
  ServiceDispatcher.addCredits(From.m_Peer.m_Incarnation, Done.m_Credits);
  if (Task *EndedTask = takeInFlightTask(From, Done.m_Task, Done.m_Credit)) {
    Job &OwningJob = *EndedTask->m_Job;
    recordResult(From, OwningJob, Done);
    if (OwningJob.m_State == JobState::Running)
      ServiceDispatcher.queue().taskEnded(OwningJob.m_Spec.m_Team);
    EndedTask->m_Code = Done.m_Code;
    EndedTask->m_Answer = std::move(Done.m_Answer);
    fireTask(*EndedTask, toTaskEvent(Done.m_Code));
  }
  ServiceDispatcher.dispatch();
}

void JobService::recordResult(const LinkedAgent &From, Job &OwningJob,
                              const TaskDone &Done) {
  Incarnation Worker = From.m_Peer.m_Incarnation;
  bool HasFailed = Done.m_Code == ResultCode::TaskFailed ||
                   Done.m_Code == ResultCode::BackendLost;
  if (Done.m_Code == ResultCode::Ok) {
    m_Metrics.count(Metric::TasksSucceeded);
    m_RunTimes->record(OwningJob.m_Spec.m_Service, OwningJob.m_Spec.m_Kind,
                       Done.m_RunTime);
    m_Health->record(Worker, false);
  } else {
    m_Metrics.count(Metric::TasksFailed);
  }
  // The tasks of a job may all fail because of the job itself, so each job
  // counts at most once against a worker.
  if (HasFailed && OwningJob.m_FailedWorkers.insert(Worker).second)
    m_Health->record(Worker, true);
}

void JobService::receiveRefusal(LinkedAgent &From,
                                const StartRefused &Refusal) {
  m_Metrics.count(Metric::TasksRefused);
  const std::string &Service = From.m_Backend.m_Service;
  if (Task *RefusedTask =
          takeInFlightTask(From, Refusal.m_Task, Refusal.m_Credit)) {
    fireTask(*RefusedTask, TaskEvent::Refused);
    if (RefusedTask->m_State == TaskState::Refused)
      releaseQuota(Service, RefusedTask->m_Job->m_Spec.m_Team);
  }
  dispatcher(Service).dispatch();
}

void JobService::fireTask(Task &Subject, TaskEvent Event) {
  bool WasSent = Subject.m_State == TaskState::Sent;
  if (!m_TaskChart.fire(Subject, Event) || !WasSent)
    return;
  auto EventForJob = toJobEvent(Subject.m_State);
  if (!EventForJob)
    return;
  Job &OwningJob = *Subject.m_Job;
  if (Subject.m_State != TaskState::Succeeded)
    OwningJob.m_Answer.m_Code = Subject.m_Code;
  fireJob(OwningJob, *EventForJob);
}

void JobService::fireJob(Job &Subject, JobEvent Event) {
  m_JobChart.fire(Subject, Event);
  if (Subject.m_State == JobState::Expired)
    m_Jobs.erase(Subject.m_Id);
}

/// Abandons the remaining tasks. Each agent with tasks of the job in flight
/// gets one StopJob message.
void JobService::stopRemainingTasks(Job &FailedJob) {
  std::set<Incarnation> Agents;
  for (Task &RemainingTask : FailedJob.m_Tasks) {
    if (RemainingTask.m_State == TaskState::Sent)
      Agents.insert(RemainingTask.m_Agent);
    m_TaskChart.fire(RemainingTask, TaskEvent::Abandon);
  }
  for (Incarnation Agent : Agents)
    m_Links.send(Agent, StopJob{FailedJob.m_Id});
}

void JobService::deliverAnswer(Job &EndedJob) {
  dispatcher(EndedJob.m_Spec.m_Service).queue().remove(EndedJob.m_Id);
  JobAnswer &Answer = EndedJob.m_Answer;
  Answer.m_Detail = describe(Answer.m_Code).m_Text;
  for (Task &EndedTask : EndedJob.m_Tasks) {
    if (Answer.m_Code == ResultCode::Ok) {
      EndedJob.m_AnswerBytes += EndedTask.m_Answer.size();
      Answer.m_Answers.push_back(std::move(EndedTask.m_Answer));
    }
    EndedTask.m_Answer = {};
  }
  EndedJob.m_Spec.m_Payloads.clear();
  m_Metrics.count(jobMetricOf(Answer.m_Code));
  m_Timers.cancel(EndedJob.m_Timer);
  auto Waiters = std::move(EndedJob.m_Waiters);
  for (const JobCallback &Done : Waiters)
    Done(Answer);
  JobId Id = EndedJob.m_Id;
  auto ExpireJob = [this, Id] {
    if (Job *ExpiredJob = m_Jobs.find(Id))
      fireJob(*ExpiredJob, JobEvent::Expire);
  };
  EndedJob.m_Timer = m_Timers.subscribe(m_Settings.m_AnswerLifetime, ExpireJob);
  for (JobId EvictedId : m_Jobs.markEnded(EndedJob)) {
    m_Timers.cancel(m_Jobs.find(EvictedId)->m_Timer);
    fireJob(*m_Jobs.find(EvictedId), JobEvent::Expire);
  }
}

void JobService::releaseQuota(const std::string &Service,
                              const std::string &Team) {
  dispatcher(Service).queue().taskEnded(Team);
}

Dispatcher &JobService::dispatcher(const std::string &Service) {
  auto &ServiceDispatcher = m_Dispatchers[Service];
  if (!ServiceDispatcher) {
    ServiceDispatcher = std::make_unique<Dispatcher>(
        m_Settings, m_Hooks, [this](JobId Id) { startNextTask(Id); }, m_Links,
        m_Timers, m_Metrics);
    updateTeamShares(Service, *ServiceDispatcher);
  }
  return *ServiceDispatcher;
}

void JobService::reconfigure() {
  for (auto &NameAndDispatcher : m_Dispatchers) {
    updateTeamShares(NameAndDispatcher.first, *NameAndDispatcher.second);
    NameAndDispatcher.second->dispatch();
  }
}

void JobService::updateTeamShares(const std::string &Service,
                                  Dispatcher &ServiceDispatcher) {
  TeamShares Shares;
  for (const auto &NameAndTeam : m_Configuration.state().m_Teams) {
    const TeamConfig &Config = NameAndTeam.second;
    bool MayUse = Config.m_Services.empty() || Config.m_Services.count(Service);
    if (!MayUse)
      continue;
    std::uint32_t Quota =
        Config.m_Quota == 0 ? 0 : shareOfQuota(Config.m_Quota, m_Share());
    Shares[NameAndTeam.first] = {Config.m_Weight, Quota};
  }
  ServiceDispatcher.queue().setTeams(Shares);
}

EntryStatus JobService::status() const {
  EntryStatus Status;
  Status.m_Workers = m_Agents.status();
  for (const auto &NameAndDispatcher : m_Dispatchers) {
    const Dispatcher &ServiceDispatcher = *NameAndDispatcher.second;
    Status.m_Services.push_back({NameAndDispatcher.first,
                                 ServiceDispatcher.queue().waiting(),
                                 ServiceDispatcher.ledger().inFlight(),
                                 ServiceDispatcher.ledger().unspentCredits()});
  }
  return Status;
}

std::size_t JobService::running() const { return m_Jobs.running(); }

std::unique_ptr<IJobService>
makeJobService(Incarnation Entry, JobSettings Settings, PolicyHooks Hooks,
               EntryShareSource Share, JobDependencies Dependencies) {
  return std::make_unique<JobService>(Entry, Settings, std::move(Hooks),
                                      std::move(Share), Dependencies);
}

} // namespace cyclamenwalk
