#include "soak/soakchecker.h"

#include <algorithm>
#include <numeric>

namespace cyclamenwalk {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpTooManyRequests = 429;
constexpr int HttpUnavailable = 503;
/// The platform's limits: the last start of a task after its caller
/// disconnected, and the last start on a runner after it announced that it
/// leaves.
constexpr Duration MaxStartAfterAbandonment = milliseconds(3000);
constexpr Duration MaxStartAfterLeave = milliseconds(2000);
/// The name of a task starts with the name of its job.
constexpr std::size_t JobNameLength = 16;

bool isRefusal(int Status) {
  return Status == HttpTooManyRequests || Status == HttpUnavailable;
}

} // namespace

void SoakChecker::recordSubmission(const SoakJob &Submitted, TimePoint) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job &Record = m_Jobs[Submitted.m_Name];
  Record.m_Submitted = Submitted;
  ++Record.m_Submissions;
  ++Record.m_PendingAnswers;
  Record.m_IsAbandoned = false;
}

void SoakChecker::recordAnswer(const std::string &Name, int Status,
                               const std::string &State) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job &Record = m_Jobs.at(Name);
  --Record.m_PendingAnswers;
  ++m_AnswerCounts[Status];
  if (isRefusal(Status)) {
    ++Record.m_Refusals;
    if (Record.m_Refusals == Record.m_Submissions && Record.m_Starts > 0)
      addViolation("job " + Name +
                   " was refused; expected 0 task starts, got " +
                   std::to_string(Record.m_Starts));
  }
  if (Status == HttpOk && State == "completed")
    checkCompleted(Record);
}

void SoakChecker::checkCompleted(const Job &Record) {
  for (std::uint32_t I = 0; I < Record.m_Submitted.m_Tasks; ++I) {
    std::string Name = Record.m_Submitted.m_Name + ".0.0." + std::to_string(I);
    auto It = Record.m_Tasks.find(Name);
    if (It == Record.m_Tasks.end() || !It->second.m_IsDone)
      addViolation("task " + Name +
                   " is not done, but its job was answered as completed");
  }
}

void SoakChecker::recordAbandonment(const std::string &Name, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job &Record = m_Jobs.at(Name);
  Record.m_IsAbandoned = true;
  Record.m_AbandonedAt = Now;
}

void SoakChecker::recordRoute(const std::string &Process, std::uint64_t Version,
                              bool IsServed) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::uint64_t &Highest = m_HighestVersions[Process];
  if (IsServed && Version < Highest)
    addViolation(Process + " went back from configuration version " +
                 std::to_string(Highest) + " to version " +
                 std::to_string(Version));
  if (IsServed)
    Highest = std::max(Highest, Version);
}

SoakChecker::Job *SoakChecker::findJob(const ObservedRun &Run) {
  auto It = m_Jobs.find(Run.m_Task.substr(0, JobNameLength));
  return It == m_Jobs.end() ? nullptr : &It->second;
}

void SoakChecker::started(const ObservedRun &Run) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_TotalStarts;
  Job *Owner = findJob(Run);
  if (!Owner)
    return addViolation("task " + Run.m_Task +
                        " started, but its job was never submitted");
  ++Owner->m_Starts;
  checkStart(Run, *Owner);
  Owner->m_Tasks[Run.m_Task].m_ActiveRuns.insert(Run.m_Run);
  std::int64_t &Used = m_UsedMilliCores[Run.m_Runner];
  Used += Owner->m_Submitted.m_MilliCores;
  if (Used > RunnerStandin::MilliCores)
    addViolation("runner " + Run.m_Runner + " uses " + std::to_string(Used) +
                 " millicores of its " +
                 std::to_string(RunnerStandin::MilliCores) +
                 " after the start of task " + Run.m_Task);
}

void SoakChecker::checkStart(const ObservedRun &Run, Job &Owner) {
  Task &CurrentTask = Owner.m_Tasks[Run.m_Task];
  bool IsRefused =
      Owner.m_PendingAnswers == 0 && Owner.m_Refusals == Owner.m_Submissions;
  if (IsRefused)
    addViolation("task " + Run.m_Task + " started after its job was refused");
  if (!CurrentTask.m_ActiveRuns.empty())
    addViolation("task " + Run.m_Task + " started as run " +
                 std::to_string(Run.m_Run) + " while run " +
                 std::to_string(*CurrentTask.m_ActiveRuns.begin()) +
                 " was in progress");
  if (Run.m_Spec != Owner.m_Submitted.m_Spec)
    addViolation("task " + Run.m_Task + " started with spec \"" + Run.m_Spec +
                 "\" instead of \"" + Owner.m_Submitted.m_Spec + "\"");
  // Every submission of the job allows the full number of attempts again.
  if (CurrentTask.m_Failures >=
      Owner.m_Submitted.m_MaxAttempts * Owner.m_Submissions)
    addViolation(
        "task " + Run.m_Task + " started after " +
        std::to_string(CurrentTask.m_Failures) + " failures; the limit is " +
        std::to_string(Owner.m_Submitted.m_MaxAttempts * Owner.m_Submissions));
  bool IsTooLate = Owner.m_IsAbandoned && Clock::now() - Owner.m_AbandonedAt >
                                              MaxStartAfterAbandonment;
  if (IsTooLate)
    addViolation(
        "task " + Run.m_Task + " started " +
        std::to_string(toMilliseconds(Clock::now() - Owner.m_AbandonedAt)) +
        " ms after its caller disconnected; the limit is " +
        std::to_string(toMilliseconds(MaxStartAfterAbandonment)) + " ms");
  auto Leaving = m_LeavingSince.find(Run.m_Runner);
  if (Leaving != m_LeavingSince.end() &&
      Clock::now() - Leaving->second > MaxStartAfterLeave)
    addViolation(
        "task " + Run.m_Task + " started on runner " + Run.m_Runner + " " +
        std::to_string(toMilliseconds(Clock::now() - Leaving->second)) +
        " ms after the runner announced that it leaves; the limit is " +
        std::to_string(toMilliseconds(MaxStartAfterLeave)) + " ms");
}

void SoakChecker::ended(const ObservedRun &Run, const std::string &Outcome) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job *Owner = findJob(Run);
  if (!Owner)
    return;
  Task &CurrentTask = Owner->m_Tasks[Run.m_Task];
  auto It = CurrentTask.m_ActiveRuns.find(Run.m_Run);
  if (It != CurrentTask.m_ActiveRuns.end())
    CurrentTask.m_ActiveRuns.erase(It);
  CurrentTask.m_IsDone = CurrentTask.m_IsDone || Outcome == "done";
  CurrentTask.m_Failures += Outcome == "failed";
  m_UsedMilliCores[Run.m_Runner] -= Owner->m_Submitted.m_MilliCores;
}

void SoakChecker::leaving(const std::string &Runner) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_LeavingSince.emplace(Runner, Clock::now());
}

void SoakChecker::recordReturn(const std::string &Runner) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_LeavingSince.erase(Runner);
}

void SoakChecker::reportViolation(const std::string &Violation) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  addViolation(Violation);
}

void SoakChecker::addViolation(const std::string &Violation) {
  m_Violations.push_back(Violation);
}

std::vector<std::string> SoakChecker::violations() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Violations;
}

std::size_t SoakChecker::answers(int Status) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_AnswerCounts.find(Status);
  return It == m_AnswerCounts.end() ? 0 : It->second;
}

std::size_t SoakChecker::starts() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_TotalStarts;
}

std::size_t SoakChecker::pendingAnswers() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return std::accumulate(m_Jobs.begin(), m_Jobs.end(), std::size_t(0),
                         [](std::size_t Sum, const auto &Entry) {
                           return Sum + Entry.second.m_PendingAnswers;
                         });
}

} // namespace cyclamenwalk
