#include "job/internal/jobservice.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

bool hasRun(const Job &Known) {
  return Known.m_InFlight > 0 || Known.m_Ran > 0;
}

/// What the end of a task means for its job; empty while it has not ended.
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

JobService::JobService(Incarnation Own, JobSettings Settings, PolicyHooks Hooks,
                       EntryShareSource Share, JobDependencies Needs)
    : m_Own(Own), m_Settings(Settings), m_Hooks(std::move(Hooks)),
      m_Share(std::move(Share)), m_Links(Needs.m_Links),
      m_Configuration(Needs.m_Configuration), m_Timers(Needs.m_Timers),
      m_Metrics(Needs.m_Metrics), m_TaskChart(bindTask(Needs.m_Charts)),
      m_JobChart(bindJob(Needs.m_Charts)), m_RunTimes(makeRunTimes()),
      m_Health(makeWorkerHealth(m_Hooks.m_FailureTest, Needs.m_Charts, m_Timers,
                                m_Metrics)),
      m_Budget(makeRetryBudget()), m_Jobs(Settings.m_MaxAnswerBytes),
      m_Admission(m_Hooks.m_Admission, m_Share, m_Configuration, m_Agents,
                  *m_RunTimes) {
  m_Health->onLimitChanged([this](Incarnation Worker, std::uint32_t Limit) {
    if (LinkedAgent *Known = m_Agents.find(Worker)) {
      Dispatcher &Owner = dispatcher(Known->m_Backend.m_Service);
      Owner.ledger().setLimit(Worker, Limit);
      Owner.dispatch();
    }
  });
}

JobService::~JobService() = default;

TaskChart JobService::bindTask(const IChartSource &Charts) {
  return TaskChart(Charts.chart("task"),
                   {{"mayPlaceAgain",
                     [this](const Task &T) {
                       return T.m_Attempts < m_Settings.m_MaxAttempts;
                     }}},
                   {{"countSent",
                     [](Task &T) {
                       ++T.m_Attempts;
                       ++T.m_Job->m_InFlight;
                     }},
                    {"countLanded", [](Task &T) { --T.m_Job->m_InFlight; }},
                    {"noteSuccess", [](Task &T) { ++T.m_Job->m_Succeeded; }},
                    {"noteRan", [](Task &T) { ++T.m_Job->m_Ran; }},
                    {"noteRefusal",
                     [](Task &T) {
                       T.m_Code = hasRun(*T.m_Job)
                                      ? ResultCode::PartlyRefused
                                      : ResultCode::RetryBudgetSpent;
                     }},
                    {"placeAgain", [this](Task &T) { placeAgain(T); }}});
}

JobChart JobService::bindJob(const IChartSource &Charts) {
  auto SetCode = [](ResultCode BeforeStart, ResultCode Later) {
    return [BeforeStart, Later](Job &J) {
      J.m_Answer.m_Code = hasRun(J) ? Later : BeforeStart;
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
       {"stopRest", [this](Job &J) { stopRest(J); }},
       {"answer", [this](Job &J) { answer(J); }}});
}

JobId JobService::reserve() { return JobId{m_Own, ++m_LastSequence}; }

ResultCode JobService::precheck(const JobSpec &Spec) {
  if (m_Jobs.running() >= m_Settings.m_MaxJobs)
    return ResultCode::Overloaded;
  ResultCode Code = m_Admission.check(Spec);
  if (Code != ResultCode::Ok)
    return Code;
  return m_Admission.admit(Spec, dispatcher(Spec.m_Service));
}

void JobService::submitAs(JobId Id, JobSpec Spec, JobCallback Done) {
  ResultCode Code = precheck(Spec);
  if (Code != ResultCode::Ok) {
    m_Metrics.count(Metric::JobsRefused);
    Done({Id, Code, std::string(describe(Code).m_Text), {}});
    return;
  }
  Job &Added = m_Jobs.add(Id);
  Added.m_Waiters.push_back(std::move(Done));
  start(Added, std::move(Spec));
}

void JobService::start(Job &Added, JobSpec Spec) {
  Duration Deadline = m_Admission.deadlineOf(Spec);
  m_Metrics.count(Metric::JobsAccepted);
  Added.m_State = m_JobChart.initial();
  Added.m_Spec = std::move(Spec);
  Added.m_ConfigurationVersion = m_Configuration.version();
  Added.m_DeadlineAt = m_Timers.now() + Deadline;
  Added.m_Answer.m_Job = Added.m_Id;
  auto Count = static_cast<std::uint32_t>(Added.m_Spec.m_Payloads.size());
  Added.m_Tasks.resize(Count);
  for (Task &Known : Added.m_Tasks) {
    Known.m_State = m_TaskChart.initial();
    Known.m_Job = &Added;
  }
  for (std::uint32_t I = Count; I > 0; --I)
    Added.m_Waiting.push_back(I - 1);
  JobId Id = Added.m_Id;
  Added.m_Timer = m_Timers.subscribe(Deadline, [this, Id] {
    if (Job *Known = m_Jobs.find(Id))
      fireJob(*Known, JobEvent::Deadline);
  });
  Duration TaskTime = m_Admission.expectedTaskTime(Added.m_Spec);
  const auto &Service =
      m_Configuration.state().m_Services.at(Added.m_Spec.m_Service);
  Added.m_IsLong = TaskTime >= Service.m_LongThreshold;
  Dispatcher &Owner = dispatcher(Added.m_Spec.m_Service);
  Owner.queue().add({Id, Added.m_Spec.m_Team, TaskTime, Added.m_IsLong, Count},
                    m_Timers.now());
  Owner.dispatch();
}

bool JobService::wait(JobId Id, JobCallback Done) {
  Job *Known = m_Jobs.find(Id);
  if (!Known)
    return false;
  if (Known->m_State == JobState::Running)
    Known->m_Waiters.push_back(std::move(Done));
  else
    Done(Known->m_Answer);
  return true;
}

bool JobService::cancel(JobId Id) {
  Job *Known = m_Jobs.find(Id);
  if (!Known || Known->m_State != JobState::Running)
    return false;
  fireJob(*Known, JobEvent::Cancel);
  return true;
}

void JobService::place(JobId Id) {
  Job &Owner = *m_Jobs.find(Id);
  Duration Remaining = Owner.m_DeadlineAt - m_Timers.now();
  bool IsHopeless =
      !hasRun(Owner) && !m_Admission.isWorthStarting(Owner.m_Spec, Remaining);
  if (IsHopeless) {
    releaseQuota(Owner.m_Spec.m_Service, Owner.m_Spec.m_Team);
    fireJob(Owner, JobEvent::Deadline);
    return;
  }
  ICreditLedger &Ledger = dispatcher(Owner.m_Spec.m_Service).ledger();
  auto Spent = Ledger.take(Owner.m_IsLong);
  std::uint32_t Index = Owner.m_Waiting.back();
  Owner.m_Waiting.pop_back();
  sendStart(Owner, Index, *Spent);
}

void JobService::sendStart(Job &Owner, std::uint32_t Index,
                           const AgentCredit &Spent) {
  Task &Sent = Owner.m_Tasks[Index];
  Sent.m_Agent = Spent.m_Agent;
  m_TaskChart.fire(Sent, TaskEvent::Send);
  m_Budget->recordStart();
  m_Metrics.count(Metric::TasksSent);
  TaskId Id{Owner.m_Id, Index};
  m_Agents.find(Spent.m_Agent)
      ->m_InFlight.emplace(Id, SentTask{Spent.m_Credit, Owner.m_Spec.m_Team});
  Start Body;
  Body.m_Task = Id;
  Body.m_Credit = Spent.m_Credit;
  Body.m_ConfigurationVersion = Owner.m_ConfigurationVersion;
  Body.m_Service = Owner.m_Spec.m_Service;
  Body.m_Kind = Owner.m_Spec.m_Kind;
  Body.m_Payload = Owner.m_Spec.m_Payloads[Index];
  Body.m_Remaining = Owner.m_DeadlineAt - m_Timers.now();
  Body.m_IsLong = Owner.m_IsLong;
  Body.m_Demand = dispatcher(Owner.m_Spec.m_Service).demand();
  m_Links.send(Spent.m_Agent, std::move(Body));
}

void JobService::placeAgain(Task &Refused) {
  m_Metrics.count(Metric::TasksReplaced);
  Job &Owner = *Refused.m_Job;
  auto Index = static_cast<std::uint32_t>(&Refused - Owner.m_Tasks.data());
  JobId Id = Owner.m_Id;
  Duration Pause = m_Budget->takeRetryDelay();
  std::string Service = Owner.m_Spec.m_Service;
  std::string Team = Owner.m_Spec.m_Team;
  if (Pause == Duration::zero()) {
    // Sent again by the caller's dispatch, not from within this transition.
    requeue(Id, Index, Service, Team);
    return;
  }
  std::weak_ptr<bool> Alive = m_Alive;
  m_Timers.subscribe(Pause, [=, this] {
    if (Alive.expired())
      return;
    requeue(Id, Index, Service, Team);
    dispatcher(Service).dispatch();
  });
}

void JobService::requeue(JobId Id, std::uint32_t Index,
                         const std::string &Service, const std::string &Team) {
  Job *Owner = m_Jobs.find(Id);
  if (!Owner || Owner->m_State != JobState::Running) {
    releaseQuota(Service, Team);
    return;
  }
  Owner->m_Waiting.push_back(Index);
  dispatcher(Service).queue().requeue(Id);
}

void JobService::agentUp(const Peer &Agent) { m_Agents.add(Agent); }

void JobService::agentDown(const Peer &Agent) {
  LinkedAgent *Known = m_Agents.find(Agent.m_Incarnation);
  if (!Known)
    return;
  LinkedAgent Gone = std::move(*Known);
  m_Agents.erase(Agent.m_Incarnation);
  m_Health->remove(Agent.m_Incarnation);
  const std::string &Service = Gone.m_Backend.m_Service;
  // An agent without a backend server has never had a credit out.
  if (Service.empty())
    return;
  dispatcher(Service).ledger().removeAgent(Agent.m_Incarnation);
  dispatcher(Service).removeAgent(Agent.m_Incarnation);
  for (const auto &Lost : Gone.m_InFlight) {
    m_Metrics.count(Metric::TasksUnknown);
    releaseQuota(Service, Lost.second.m_Team);
    Job *Owner = m_Jobs.find(Lost.first.m_Job);
    if (!Owner)
      continue;
    Task &Affected = Owner->m_Tasks[Lost.first.m_Index];
    Affected.m_Code = ResultCode::AgentLost;
    fireTask(Affected, TaskEvent::Lost);
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
    Dispatcher &Owner = dispatcher(From->m_Backend.m_Service);
    Owner.addCredits(Agent, Grant->m_Credits);
    Owner.dispatch();
  } else if (auto *Taken = std::get_if<CreditWithdraw>(&Body)) {
    for (CreditId Id : Taken->m_Credits)
      dispatcher(From->m_Backend.m_Service).ledger().withdraw(Agent, Id);
  } else if (auto *State = std::get_if<BackendState>(&Body)) {
    receiveState(*From, *State);
  }
}

void JobService::receiveState(LinkedAgent &From, const BackendState &State) {
  Incarnation Agent = From.m_Peer.m_Incarnation;
  bool IsNew = From.m_Backend.m_Service != State.m_Service;
  if (IsNew && !From.m_Backend.m_Service.empty())
    dispatcher(From.m_Backend.m_Service).removeAgent(Agent);
  From.m_Backend = State;
  Dispatcher &Owner = dispatcher(State.m_Service);
  if (State.m_IsLeaving)
    Owner.removeAgent(Agent);
  else
    Owner.addAgent(Agent, State.m_Slots);
  if (IsNew)
    m_Health->add(Agent, State.m_Service);
}

/// The task if this agent was sent it against this credit and it has not
/// ended.
Task *JobService::takeLanded(LinkedAgent &From, TaskId Id, CreditId Credit) {
  auto InFlight = From.m_InFlight.find(Id);
  bool IsExpected =
      InFlight != From.m_InFlight.end() && InFlight->second.m_Credit == Credit;
  if (!IsExpected) {
    m_Metrics.count(Metric::LateResults);
    return nullptr;
  }
  std::string Team = InFlight->second.m_Team;
  From.m_InFlight.erase(InFlight);
  const std::string &Service = From.m_Backend.m_Service;
  dispatcher(Service).ledger().taskEnded(From.m_Peer.m_Incarnation);
  Job *Owner = m_Jobs.find(Id.m_Job);
  bool IsOver = !Owner || Owner->m_State != JobState::Running;
  if (IsOver)
    releaseQuota(Service, Team);
  return Owner ? &Owner->m_Tasks[Id.m_Index] : nullptr;
}

void JobService::receiveDone(LinkedAgent &From, TaskDone &Done) {
  Dispatcher &Owner = dispatcher(From.m_Backend.m_Service);
  Owner.addCredits(From.m_Peer.m_Incarnation, Done.m_Credits);
  if (Task *Ended = takeLanded(From, Done.m_Task, Done.m_Credit)) {
    Job &Known = *Ended->m_Job;
    learn(From, Known, Done);
    if (Known.m_State == JobState::Running)
      Owner.queue().taskEnded(Known.m_Spec.m_Team);
    Ended->m_Code = Done.m_Code;
    Ended->m_Answer = std::move(Done.m_Answer);
    fireTask(*Ended, toTaskEvent(Done.m_Code));
  }
  Owner.dispatch();
}

void JobService::learn(const LinkedAgent &From, Job &Owner,
                       const TaskDone &Done) {
  Incarnation Worker = From.m_Peer.m_Incarnation;
  bool HasFailed = Done.m_Code == ResultCode::TaskFailed ||
                   Done.m_Code == ResultCode::BackendLost;
  if (Done.m_Code == ResultCode::Ok) {
    m_Metrics.count(Metric::TasksSucceeded);
    m_RunTimes->record(Owner.m_Spec.m_Service, Owner.m_Spec.m_Kind,
                       Done.m_RunTime);
    m_Health->record(Worker, false);
  } else {
    m_Metrics.count(Metric::TasksFailed);
  }
  // The tasks of one job may fail for the same reason of their own, so a job
  // counts once against a worker.
  if (HasFailed && Owner.m_FailedOn.insert(Worker).second)
    m_Health->record(Worker, true);
}

void JobService::receiveRefusal(LinkedAgent &From,
                                const StartRefused &Refusal) {
  m_Metrics.count(Metric::TasksRefused);
  const std::string &Service = From.m_Backend.m_Service;
  if (Task *Refused = takeLanded(From, Refusal.m_Task, Refusal.m_Credit)) {
    fireTask(*Refused, TaskEvent::Refused);
    if (Refused->m_State == TaskState::Refused)
      releaseQuota(Service, Refused->m_Job->m_Spec.m_Team);
  }
  dispatcher(Service).dispatch();
}

void JobService::fireTask(Task &Changed, TaskEvent What) {
  bool WasSent = Changed.m_State == TaskState::Sent;
  if (!m_TaskChart.fire(Changed, What) || !WasSent)
    return;
  auto Meaning = toJobEvent(Changed.m_State);
  if (!Meaning)
    return;
  Job &Owner = *Changed.m_Job;
  if (Changed.m_State != TaskState::Succeeded)
    Owner.m_Answer.m_Code = Changed.m_Code;
  fireJob(Owner, *Meaning);
}

void JobService::fireJob(Job &Changed, JobEvent What) {
  m_JobChart.fire(Changed, What);
  if (Changed.m_State == JobState::Forgotten)
    m_Jobs.erase(Changed.m_Id);
}

/// Cancels what waits and stops what runs, one message for each agent.
void JobService::stopRest(Job &Failed) {
  std::set<Incarnation> Agents;
  for (Task &Known : Failed.m_Tasks) {
    if (Known.m_State == TaskState::Sent)
      Agents.insert(Known.m_Agent);
    m_TaskChart.fire(Known, TaskEvent::Abandon);
  }
  for (Incarnation Agent : Agents)
    m_Links.send(Agent, StopJob{Failed.m_Id});
}

void JobService::answer(Job &Ended) {
  dispatcher(Ended.m_Spec.m_Service).queue().remove(Ended.m_Id);
  JobAnswer &Whole = Ended.m_Answer;
  Whole.m_Detail = describe(Whole.m_Code).m_Text;
  for (Task &Known : Ended.m_Tasks) {
    if (Whole.m_Code == ResultCode::Ok) {
      Ended.m_AnswerBytes += Known.m_Answer.size();
      Whole.m_Answers.push_back(std::move(Known.m_Answer));
    }
    Known.m_Answer = {};
  }
  Ended.m_Spec.m_Payloads.clear();
  m_Metrics.count(metricOf(Whole.m_Code));
  m_Timers.cancel(Ended.m_Timer);
  auto Waiters = std::move(Ended.m_Waiters);
  for (const JobCallback &Done : Waiters)
    Done(Whole);
  JobId Id = Ended.m_Id;
  auto Expire = [this, Id] {
    if (Job *Known = m_Jobs.find(Id))
      fireJob(*Known, JobEvent::Expire);
  };
  Ended.m_Timer = m_Timers.subscribe(m_Settings.m_AnswerLifetime, Expire);
  for (JobId Oldest : m_Jobs.noteEnded(Ended)) {
    m_Timers.cancel(m_Jobs.find(Oldest)->m_Timer);
    fireJob(*m_Jobs.find(Oldest), JobEvent::Expire);
  }
}

void JobService::releaseQuota(const std::string &Service,
                              const std::string &Team) {
  dispatcher(Service).queue().taskEnded(Team);
}

Dispatcher &JobService::dispatcher(const std::string &Service) {
  auto &Known = m_Dispatchers[Service];
  if (!Known) {
    Known = std::make_unique<Dispatcher>(
        m_Settings, m_Hooks, [this](JobId Id) { place(Id); }, m_Links, m_Timers,
        m_Metrics);
    shareOut(Service, *Known);
  }
  return *Known;
}

void JobService::reconfigure() {
  for (auto &Known : m_Dispatchers) {
    shareOut(Known.first, *Known.second);
    Known.second->dispatch();
  }
}

void JobService::shareOut(const std::string &Service, Dispatcher &Known) {
  TeamShares Shares;
  for (const auto &Team : m_Configuration.state().m_Teams) {
    const TeamConfig &Config = Team.second;
    bool MayUse = Config.m_Services.empty() || Config.m_Services.count(Service);
    if (!MayUse)
      continue;
    std::uint32_t Quota =
        Config.m_Quota == 0 ? 0 : shareOfQuota(Config.m_Quota, m_Share());
    Shares[Team.first] = {Config.m_Weight, Quota};
  }
  Known.queue().setTeams(Shares);
}

SiteStatus JobService::status() const {
  SiteStatus Status;
  Status.m_Workers = m_Agents.status();
  for (const auto &Known : m_Dispatchers) {
    const Dispatcher &Service = *Known.second;
    Status.m_Services.push_back({Known.first, Service.queue().waiting(),
                                 Service.ledger().inFlight(),
                                 Service.ledger().held()});
  }
  return Status;
}

std::size_t JobService::running() const { return m_Jobs.running(); }

std::unique_ptr<IJobService>
makeJobService(Incarnation Own, JobSettings Settings, PolicyHooks Hooks,
               EntryShareSource Share, JobDependencies Needs) {
  return std::make_unique<JobService>(Own, Settings, std::move(Hooks),
                                      std::move(Share), Needs);
}

} // namespace cyclamenwalk
