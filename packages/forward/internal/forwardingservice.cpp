#include "forward/internal/forwardingservice.h"

#include "core/log.h"

namespace cyclamenwalk {

namespace {

/// Tells the ids of jobs that this service gives to callers from those that
/// the batch service gives.
constexpr std::uint64_t RequestIdBit = 1ULL << 63;

/// Whether another owner may have what the one that refused lacks.
bool isWorthAnotherOwner(ResultCode Code) {
  return Code == ResultCode::DeadlineUnreachable ||
         Code == ResultCode::NoWorker || Code == ResultCode::Overloaded ||
         Code == ResultCode::Draining;
}

} // namespace

ForwardingService::ForwardingService(Incarnation Entry,
                                     ForwardSettings Settings,
                                     ForwardHooks Hooks,
                                     ForwardDependencies Dependencies)
    : m_Self(Entry), m_Settings(std::move(Settings)), m_Hooks(std::move(Hooks)),
      m_Dependencies(Dependencies), m_Timers(Dependencies.m_Timers),
      m_Chart(bindChart(Dependencies.m_Charts)),
      m_OwnedJobs(Dependencies, [this] { return currentState(); }),
      m_Random(Entry.m_Value) {
  m_StateTimer = m_Timers.subscribeEvery(m_Settings.m_StatePeriod,
                                         [this] { sendStateIfChanged(); });
}

ForwardingService::~ForwardingService() {
  m_Timers.cancel(m_StateTimer);
  for (const auto &Item : m_Jobs)
    m_Timers.cancel(Item.second->m_Timer);
}

ForwardedJobChart ForwardingService::bindChart(const IChartSource &Charts) {
  return ForwardedJobChart(
      Charts.chart("forwardedjob"),
      {{"hasAnotherOwner",
        [](const ForwardedJob &Job) { return Job.m_NextOwner.has_value(); }}},
      {{"offerToAnotherOwner",
        [this](ForwardedJob &Job) {
          offer(find(Job.m_Request), *Job.m_NextOwner);
        }},
       {"cancelAtOwner", [this](ForwardedJob &Job) { cancelAtOwner(Job); }},
       {"setOwnerLost",
        [](ForwardedJob &Job) { Job.m_Answer.m_Code = ResultCode::OwnerLost; }},
       {"setDeadlinePassed",
        [](ForwardedJob &Job) {
          Job.m_Answer.m_Code = ResultCode::DeadlineWhileRunning;
        }},
       {"answerCallers", [this](ForwardedJob &Job) { answerCallers(Job); }}});
}

JobId ForwardingService::submit(BatchSpec Spec, BatchCallback Callback) {
  auto It = m_JobsByName.find(Spec.m_Name);
  if (It != m_JobsByName.end()) {
    logEvent(LogLevel::Info, "job.joined", {{"job", Spec.m_Name}});
    find(It->second)->m_Callbacks.push_back(std::move(Callback));
    return {m_Self, It->second | RequestIdBit};
  }
  // Another owner would not know of runs that this entry is stopping.
  bool IsStopping = m_Dependencies.m_Jobs.isStopping(Spec.m_Name);
  JobPointer Job = addJob(std::move(Spec), std::move(Callback));
  offer(Job, IsStopping ? m_Self : chooseOwner(*Job, false).value_or(m_Self));
  return {m_Self, Job->m_Request | RequestIdBit};
}

ForwardingService::JobPointer
ForwardingService::addJob(BatchSpec Spec, BatchCallback Callback) {
  auto Job = std::make_shared<ForwardedJob>();
  std::uint64_t Request = ++m_LastRequest;
  Job->m_State = m_Chart.initial();
  Job->m_Request = Request;
  Job->m_ArrivedAt = m_Timers.now() - Spec.m_Age;
  Job->m_Callbacks.push_back(std::move(Callback));
  Duration AnswerWithin =
      Spec.m_Deadline - Spec.m_Age - m_Settings.m_AnswerMargin;
  Spec.m_OriginDomain = m_Settings.m_FailureDomain;
  Job->m_Timer = m_Timers.subscribe(AnswerWithin, [this, Request] {
    if (JobPointer Expired = find(Request))
      fire(Expired, ForwardedJobEvent::Deadline);
  });
  m_JobsByName[Spec.m_Name] = Request;
  Job->m_Spec = std::move(Spec);
  m_Jobs.emplace(Request, Job);
  return Job;
}

/// Nothing when no entry that was not tried yet is of use.
std::optional<Incarnation>
ForwardingService::chooseOwner(const ForwardedJob &Job, bool RequiresRoom) {
  const BatchSpec &Spec = Job.m_Spec;
  auto Views = m_Placers.views(Spec, Job.m_TriedOwners);
  auto OwnRooms = m_Dependencies.m_Jobs.rooms();
  const ServiceRoom *OwnRoom = findRoom(OwnRooms, Spec);
  if (OwnRoom && !Job.m_TriedOwners.count(m_Self)) {
    Views.push_back(makeView(m_Self, *OwnRoom, Spec));
    Views.back().m_IsSelf = true;
  }
  return m_Hooks.m_ChoosePlacer(Views,
                                {totalMilliCores(Spec), !Spec.m_Rack.empty(),
                                 RequiresRoom, m_Random(), m_Random()});
}

void ForwardingService::offer(const JobPointer &Job, Incarnation Owner) {
  Job->m_Owner = Owner;
  // Other refusals come before the owner decides, and don't count as an offer.
  if (Job->m_Answer.m_Code == ResultCode::DeadlineUnreachable)
    Job->m_Spec.m_WasRefused = true;
  Job->m_TriedOwners.insert(Owner);
  Job->m_NextOwner.reset();
  Job->m_Spec.m_Age = m_Timers.now() - Job->m_ArrivedAt;
  if (Owner == m_Self)
    return submitHere(Job);
  logEvent(LogLevel::Info, "job.forwarded",
           {{"job", Job->m_Spec.m_Name},
            {"owner", toString(Owner)},
            {"offers", Job->m_TriedOwners.size()},
            {"age_ms", toMilliseconds(Job->m_Spec.m_Age)}});
  m_Dependencies.m_Metrics.count(Metric::JobsForwarded);
  m_Placers.addJob(Owner, Job->m_Spec);
  m_Dependencies.m_Links.send(Owner, ForwardJob{Job->m_Request, Job->m_Spec});
}

void ForwardingService::submitHere(const JobPointer &Job) {
  std::uint64_t Request = Job->m_Request;
  // The callback may come before submit() returns.
  Job->m_OwnJob = m_Dependencies.m_Jobs.submit(
      Job->m_Spec, [this, Request](const BatchAnswer &Answer) {
        JobPointer Answered = find(Request);
        if (Answered && Answered->m_Owner == m_Self)
          receiveAnswer(Answered, Answer);
      });
}

void ForwardingService::receiveAnswer(const JobPointer &Job,
                                      const BatchAnswer &Answer) {
  Job->m_Answer = Answer;
  if (outcomeOf(Answer.m_Code) != Outcome::DidNotRun)
    return fire(Job, ForwardedJobEvent::Answered);
  bool IsAnotherUseful = isWorthAnotherOwner(Answer.m_Code) &&
                         Job->m_TriedOwners.size() < m_Settings.m_MaxOwners;
  if (IsAnotherUseful)
    Job->m_NextOwner =
        chooseOwner(*Job, Answer.m_Code == ResultCode::DeadlineUnreachable);
  fire(Job, ForwardedJobEvent::Refused);
}

void ForwardingService::removeCaller(JobId Id) {
  JobPointer Job = find(Id.m_Sequence & ~RequestIdBit);
  if (!Job)
    return;
  // The job continues while other callers wait for it.
  ++Job->m_DisconnectedCallers;
  if (Job->m_DisconnectedCallers >= Job->m_Callbacks.size())
    fire(Job, ForwardedJobEvent::Cancel);
}

/// Another entry may have forwarded a job that a caller sent here as well, so
/// it is cancelled in both roles.
bool ForwardingService::cancel(const std::string &Name) {
  auto It = m_JobsByName.find(Name);
  bool IsForwarded = It != m_JobsByName.end();
  if (IsForwarded)
    fire(find(It->second), ForwardedJobEvent::Cancel);
  bool IsOwned = m_Dependencies.m_Jobs.cancel(Name);
  return IsForwarded || IsOwned;
}

bool ForwardingService::isRunning(const std::string &Name) const {
  return m_JobsByName.count(Name) > 0 || m_Dependencies.m_Jobs.isRunning(Name);
}

std::size_t ForwardingService::waiting(const std::string &Route) const {
  return m_Dependencies.m_Jobs.waiting(Route);
}

std::size_t ForwardingService::running() const {
  // A process that exits too early would lose answers on their way.
  std::size_t Answering = m_OwnedJobs.hasRecentAnswers() ? 1 : 0;
  return m_JobsByName.size() + m_Dependencies.m_Jobs.running() + Answering;
}

void ForwardingService::cancelAtOwner(ForwardedJob &Job) {
  if (Job.m_Owner == m_Self)
    m_Dependencies.m_Jobs.removeCaller(Job.m_OwnJob);
  else
    m_Dependencies.m_Links.send(Job.m_Owner, CancelForwardedJob{Job.m_Request});
}

void ForwardingService::answerCallers(ForwardedJob &Job) {
  m_Timers.cancel(Job.m_Timer);
  if (Job.m_Owner != m_Self)
    logEvent(
        LogLevel::Info, "job.relayed",
        {{"job", Job.m_Spec.m_Name},
         {"owner", toString(Job.m_Owner)},
         {"code", static_cast<int>(Job.m_Answer.m_Code)},
         {"job_time_ms", toMilliseconds(m_Timers.now() - Job.m_ArrivedAt)}});
  Job.m_Answer.m_Job = {m_Self, Job.m_Request | RequestIdBit};
  // Callers up the stack hold the job.
  m_JobsByName.erase(Job.m_Spec.m_Name);
  m_Jobs.erase(Job.m_Request);
  for (const BatchCallback &Callback : Job.m_Callbacks)
    Callback(Job.m_Answer);
}

/// The caller holds the job, since its answer removes it from the table.
void ForwardingService::fire(const JobPointer &Job, ForwardedJobEvent Event) {
  m_Chart.fire(*Job, Event);
}

ForwardingService::JobPointer
ForwardingService::find(std::uint64_t Request) const {
  auto It = m_Jobs.find(Request);
  return It == m_Jobs.end() ? nullptr : It->second;
}

void ForwardingService::entryUp(const Peer &Entry) {
  m_Entries.insert(Entry.m_Incarnation);
  m_Dependencies.m_Links.send(Entry.m_Incarnation, currentState());
}

void ForwardingService::entryDown(const Peer &Entry) {
  m_Entries.erase(Entry.m_Incarnation);
  m_Placers.remove(Entry.m_Incarnation);
  m_OwnedJobs.forwarderDown(Entry.m_Incarnation);
  std::vector<JobPointer> Lost;
  for (const auto &Item : m_Jobs)
    if (Item.second->m_Owner == Entry.m_Incarnation)
      Lost.push_back(Item.second);
  for (const JobPointer &Job : Lost)
    fire(Job, ForwardedJobEvent::OwnerLost);
}

bool ForwardingService::receive(Incarnation Entry, Message &Body) {
  if (auto *State = std::get_if<PlacerState>(&Body)) {
    m_Dependencies.m_Jobs.receiveGroupWork(Entry, State->m_GroupWork);
    m_Placers.update(Entry, std::move(*State));
  } else if (auto *Job = std::get_if<ForwardJob>(&Body)) {
    m_OwnedJobs.receive(Entry, std::move(*Job));
  } else if (auto *Cancel = std::get_if<CancelForwardedJob>(&Body)) {
    m_OwnedJobs.cancel(Entry, *Cancel);
  } else if (auto *Answer = std::get_if<ForwardedJobAnswer>(&Body)) {
    m_Placers.update(Entry, std::move(Answer->m_State));
    JobPointer Answered = find(Answer->m_Request);
    if (Answered && Answered->m_Owner == Entry)
      receiveAnswer(Answered, {{}, Answer->m_Code, Answer->m_RetryAfter});
    else
      m_Dependencies.m_Metrics.count(Metric::LateResults);
  } else {
    return false;
  }
  return true;
}

void ForwardingService::drain() {
  m_IsDraining = true;
  m_OwnedJobs.drain();
  sendStateIfChanged();
}

bool ForwardingService::ownsJobsOf(Incarnation Entry) const {
  return m_OwnedJobs.hasJobsOf(Entry);
}

TimePoint ForwardingService::forwardersAliveAt() const {
  return m_OwnedJobs.forwardersAliveAt();
}

bool ForwardingService::hasPlacers() const {
  return m_Dependencies.m_Jobs.hasWorkers() || m_Placers.hasAccepting();
}

PlacerState ForwardingService::currentState() const {
  return {!m_IsDraining, m_Dependencies.m_Jobs.rooms()};
}

void ForwardingService::sendStateIfChanged() {
  PlacerState State = currentState();
  if (State == m_SentState)
    return;
  m_SentState = State;
  auto GroupWork = m_Dependencies.m_Jobs.groupWork();
  for (Incarnation Entry : m_Entries) {
    // Entries without workers make no use of it.
    State.m_GroupWork =
        m_Placers.hasRooms(Entry) ? GroupWork : decltype(GroupWork){};
    m_Dependencies.m_Links.send(Entry, State);
  }
}

} // namespace cyclamenwalk
