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
/// The platform's limits for a cancelled job: its last start after the answer
/// to the cancellation, the end of its last run, and the time without a
/// disruption before either.
constexpr Duration MaxStartAfterCancellation = milliseconds(3000);
constexpr Duration MaxRunAfterCancellation = milliseconds(3050);
constexpr Duration ContactTime = milliseconds(3000);
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
                       std::to_string(Record.m_Starts),
                   startsOf(Record));
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

void SoakChecker::recordCancellation(const std::string &Name, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job &Record = m_Jobs.at(Name);
  ++m_Cancellations;
  if (Record.m_IsCancelled)
    return;
  Record.m_IsCancelled = true;
  Record.m_CancelledAt = Now;
}

void SoakChecker::recordOrder(const ObservedRun &Run, CallFate Fate) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  OrderFate &Order = m_Orders[orderKey(Run)];
  if (Fate == CallFate::Late)
    Order.m_IsLate = true;
  else
    Order.m_IsAnswerLost = true;
}

void SoakChecker::recordDisruption(TimePoint Begin, TimePoint End) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Disruptions.emplace_back(Begin, End);
}

bool SoakChecker::isCalm(TimePoint From, TimePoint To) const {
  return std::none_of(m_Disruptions.begin(), m_Disruptions.end(),
                      [&](const auto &Span) {
                        return Span.first <= To && Span.second >= From;
                      });
}

SoakChecker::Job *SoakChecker::findJob(const ObservedRun &Run) {
  auto It = m_Jobs.find(Run.m_Task.substr(0, JobNameLength));
  return It == m_Jobs.end() ? nullptr : &It->second;
}

SoakChecker::OrderKey SoakChecker::orderKey(const ObservedRun &Run) {
  return {Run.m_Runner, Run.m_Task, Run.m_Run};
}

std::vector<ObservedRun> SoakChecker::startsOf(const Job &Owner) const {
  auto It = m_Starts.find(Owner.m_Submitted.m_Name);
  return It == m_Starts.end() ? std::vector<ObservedRun>() : It->second;
}

void SoakChecker::started(const ObservedRun &Run) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_TotalStarts;
  Job *Owner = findJob(Run);
  if (!Owner)
    return addViolation("task " + Run.m_Task +
                        " started, but its job was never submitted");
  ++Owner->m_Starts;
  m_Starts[Owner->m_Submitted.m_Name].push_back(Run);
  checkStart(Run, *Owner);
  Owner->m_Tasks[Run.m_Task].m_ActiveRuns.insert({Run.m_Run, Run.m_Runner});
  checkCapacity(Run, *Owner);
}

void SoakChecker::checkCapacity(const ObservedRun &Run, const Job &Owner) {
  Usage &Used = m_Used[Run.m_Runner];
  Used.m_MilliCores += Owner.m_Submitted.m_MilliCores;
  Used.m_MemoryMb += Owner.m_Submitted.m_MemoryMb;
  bool IsOverCores = Used.m_MilliCores > RunnerStandin::MilliCores;
  bool IsOverMemory = Used.m_MemoryMb > RunnerStandin::MemoryMb;
  if (!IsOverCores && !IsOverMemory)
    return;
  std::vector<ObservedRun> Active;
  for (const auto &Entry : m_Jobs)
    for (const auto &Item : Entry.second.m_Tasks)
      for (const RunAt &At : Item.second.m_ActiveRuns)
        if (At.second == Run.m_Runner)
          Active.push_back({At.second, Item.first, At.first, ""});
  std::string Excess =
      IsOverCores ? std::to_string(Used.m_MilliCores) + " millicores of its " +
                        std::to_string(RunnerStandin::MilliCores)
                  : std::to_string(Used.m_MemoryMb) + " MB of its " +
                        std::to_string(RunnerStandin::MemoryMb);
  addViolation("runner " + Run.m_Runner + " uses " + Excess +
                   " after the start of task " + Run.m_Task,
               std::move(Active));
}

void SoakChecker::checkOverlap(const ObservedRun &Run, const Task &Started) {
  if (Started.m_ActiveRuns.empty())
    return;
  const RunAt &Earlier = *Started.m_ActiveRuns.begin();
  addViolation("task " + Run.m_Task + " started as run " +
                   std::to_string(Run.m_Run) + " at " + Run.m_Runner +
                   " while run " + std::to_string(Earlier.first) +
                   " was in progress at " + Earlier.second,
               {{Earlier.second, Run.m_Task, Earlier.first, ""}, Run});
}

void SoakChecker::checkStart(const ObservedRun &Run, Job &Owner) {
  bool IsRefused =
      Owner.m_PendingAnswers == 0 && Owner.m_Refusals == Owner.m_Submissions;
  if (IsRefused)
    addViolation("task " + Run.m_Task + " started after its job was refused",
                 {Run});
  checkOverlap(Run, Owner.m_Tasks[Run.m_Task]);
  if (Run.m_Spec != Owner.m_Submitted.m_Spec)
    addViolation("task " + Run.m_Task + " started with spec \"" + Run.m_Spec +
                 "\" instead of \"" + Owner.m_Submitted.m_Spec + "\"");
  checkLimits(Run, Owner);
  checkCancelled(Run, Owner, MaxStartAfterCancellation, Clock::now(),
                 "started");
}

void SoakChecker::checkLimits(const ObservedRun &Run, Job &Owner) {
  // Every submission of the job allows the full number of attempts again.
  std::uint32_t MaxFailures =
      Owner.m_Submitted.m_MaxAttempts * Owner.m_Submissions;
  std::uint32_t Failures = Owner.m_Tasks[Run.m_Task].m_Failures;
  if (Failures >= MaxFailures)
    addViolation("task " + Run.m_Task + " started after " +
                 std::to_string(Failures) + " failures; the limit is " +
                 std::to_string(MaxFailures));
  Duration SinceAbandonment = Clock::now() - Owner.m_AbandonedAt;
  if (Owner.m_IsAbandoned && SinceAbandonment > MaxStartAfterAbandonment)
    addViolation("task " + Run.m_Task + " started " +
                     std::to_string(toMilliseconds(SinceAbandonment)) +
                     " ms after its caller disconnected; the limit is " +
                     std::to_string(toMilliseconds(MaxStartAfterAbandonment)) +
                     " ms",
                 {Run});
  auto Leaving = m_LeavingSince.find(Run.m_Runner);
  if (Leaving != m_LeavingSince.end() &&
      Clock::now() - Leaving->second > MaxStartAfterLeave)
    addViolation(
        "task " + Run.m_Task + " started on runner " + Run.m_Runner + " " +
            std::to_string(toMilliseconds(Clock::now() - Leaving->second)) +
            " ms after the runner announced that it leaves; the limit is " +
            std::to_string(toMilliseconds(MaxStartAfterLeave)) + " ms",
        {Run});
}

/// A run that starts or goes on beyond the time that a cancellation allows,
/// unless its order came late or a disruption was near.
void SoakChecker::checkCancelled(const ObservedRun &Run, const Job &Owner,
                                 Duration Allowed, TimePoint Now,
                                 const char *What) {
  TimePoint LastAllowed = Owner.m_CancelledAt + Allowed;
  if (!Owner.m_IsCancelled || Now <= LastAllowed)
    return;
  auto Order = m_Orders.find(orderKey(Run));
  bool IsLate = Order != m_Orders.end() && Order->second.m_IsLate;
  if (IsLate || !isCalm(LastAllowed - ContactTime, LastAllowed))
    return;
  addViolation("task " + Run.m_Task + " " + What + " " +
                   std::to_string(toMilliseconds(Now - Owner.m_CancelledAt)) +
                   " ms after its job's cancellation was answered; the limit "
                   "is " +
                   std::to_string(toMilliseconds(Allowed)) + " ms",
               {Run});
}

void SoakChecker::checkActiveRuns(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  for (const auto &Entry : m_Jobs)
    for (const auto &Item : Entry.second.m_Tasks)
      for (const RunAt &At : Item.second.m_ActiveRuns)
        checkCancelled({At.second, Item.first, At.first, ""}, Entry.second,
                       MaxRunAfterCancellation, Now, "was in progress");
}

void SoakChecker::ended(const ObservedRun &Run, const std::string &Outcome) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job *Owner = findJob(Run);
  if (!Owner)
    return;
  Task &CurrentTask = Owner->m_Tasks[Run.m_Task];
  CurrentTask.m_ActiveRuns.erase({Run.m_Run, Run.m_Runner});
  CurrentTask.m_IsDone = CurrentTask.m_IsDone || Outcome == "done";
  CurrentTask.m_Failures += Outcome == "failed";
  m_Used[Run.m_Runner].m_MilliCores -= Owner->m_Submitted.m_MilliCores;
  m_Used[Run.m_Runner].m_MemoryMb -= Owner->m_Submitted.m_MemoryMb;
  checkCancelled(Run, *Owner, MaxRunAfterCancellation, Clock::now(),
                 "was in progress");
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

void SoakChecker::addViolation(const std::string &Text,
                               std::vector<ObservedRun> Runs) {
  m_Violations.push_back({Text, std::move(Runs)});
}

std::string SoakChecker::describe(const Violation &Found) const {
  std::string Text = Found.m_Text;
  for (const ObservedRun &Run : Found.m_Runs) {
    auto Order = m_Orders.find(orderKey(Run));
    OrderFate Fate = Order == m_Orders.end() ? OrderFate() : Order->second;
    Text += Text.size() == Found.m_Text.size() ? " [" : "; ";
    Text += Run.m_Task + " run " + std::to_string(Run.m_Run) + " at " +
            Run.m_Runner +
            (Fate.m_IsAnswerLost ? ": answer lost" : ": answered") +
            (Fate.m_IsLate ? ", late" : "");
  }
  return Found.m_Runs.empty() ? Text : Text + "]";
}

std::vector<std::string> SoakChecker::violations() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::vector<std::string> Lines;
  for (const Violation &Found : m_Violations)
    Lines.push_back(describe(Found));
  return Lines;
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

std::size_t SoakChecker::cancellations() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Cancellations;
}

std::size_t SoakChecker::pendingAnswers() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return std::accumulate(m_Jobs.begin(), m_Jobs.end(), std::size_t(0),
                         [](std::size_t Sum, const auto &Entry) {
                           return Sum + Entry.second.m_PendingAnswers;
                         });
}

} // namespace cyclamenwalk
