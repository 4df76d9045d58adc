#include "soak/soakchecker.h"

#include <algorithm>
#include <numeric>

namespace cyclamenwalk {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpTooMany = 429;
constexpr int HttpUnavailable = 503;
/// The platform's bounds on a start after its job was given up, and at a
/// runner after its notice.
constexpr Duration CancelBound = milliseconds(3000);
constexpr Duration LeaveBound = milliseconds(2000);
/// Characters of a job's name at the start of a task's.
constexpr std::size_t NameLength = 16;

bool isRefusal(int Status) {
  return Status == HttpTooMany || Status == HttpUnavailable;
}

} // namespace

void SoakChecker::submitted(const SoakJob &Sent, TimePoint) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job &Known = m_Jobs[Sent.m_Name];
  Known.m_Said = Sent;
  ++Known.m_Attempts;
  ++Known.m_Waiting;
  Known.m_IsAbandoned = false;
}

void SoakChecker::answered(const std::string &Name, int Status,
                           const std::string &State) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job &Known = m_Jobs.at(Name);
  --Known.m_Waiting;
  ++m_Answers[Status];
  if (isRefusal(Status)) {
    ++Known.m_Refusals;
    if (Known.m_Refusals == Known.m_Attempts && Known.m_Starts > 0)
      add("refused, but it has run: " + Name);
  }
  if (Status == HttpOk && State == "completed")
    checkCompleted(Known);
}

void SoakChecker::checkCompleted(const Job &Known) {
  for (std::uint32_t I = 0; I < Known.m_Said.m_Tasks; ++I) {
    std::string Name = Known.m_Said.m_Name + ".0.0." + std::to_string(I);
    auto Found = Known.m_Tasks.find(Name);
    if (Found == Known.m_Tasks.end() || !Found->second.m_IsDone)
      add("answered as completed, but not done: " + Name);
  }
}

void SoakChecker::abandoned(const std::string &Name, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job &Known = m_Jobs.at(Name);
  Known.m_IsAbandoned = true;
  Known.m_AbandonedAt = Now;
}

void SoakChecker::sawRoute(const std::string &Life, std::uint64_t Version,
                           bool IsThere) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::uint64_t &Highest = m_HighestSeen[Life];
  if (IsThere && Version < Highest)
    add("an entry went back to version " + std::to_string(Version) + ": " +
        Life);
  if (IsThere)
    Highest = std::max(Highest, Version);
}

SoakChecker::Job *SoakChecker::jobOf(const ObservedRun &Run) {
  auto Found = m_Jobs.find(Run.m_Task.substr(0, NameLength));
  return Found == m_Jobs.end() ? nullptr : &Found->second;
}

void SoakChecker::started(const ObservedRun &Run) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Starts;
  Job *Known = jobOf(Run);
  if (!Known)
    return add("started, but nobody asked for it: " + Run.m_Task);
  ++Known->m_Starts;
  checkStart(Run, *Known);
  Known->m_Tasks[Run.m_Task].m_Running.insert(Run.m_Run);
  std::int64_t &Used = m_UsedAt[Run.m_Runner];
  Used += Known->m_Said.m_MilliCores;
  if (Used > RunnerStandin::MilliCores)
    add("more is started than fits: " + Run.m_Task + " on " + Run.m_Runner);
}

void SoakChecker::checkStart(const ObservedRun &Run, Job &Known) {
  Task &Now = Known.m_Tasks[Run.m_Task];
  bool IsRefused = Known.m_Waiting == 0 && Known.m_Refusals == Known.m_Attempts;
  if (IsRefused)
    add("started after its refusal: " + Run.m_Task);
  if (!Now.m_Running.empty())
    add("two runs at the same time: " + Run.m_Task);
  if (Run.m_Spec != Known.m_Said.m_Spec)
    add("started with another spec: " + Run.m_Task);
  // Each time that the job is sent, it may run from the start.
  if (Now.m_Failures >= Known.m_Said.m_MaxAttempts * Known.m_Attempts)
    add("started after its last attempt: " + Run.m_Task);
  bool IsTooLate =
      Known.m_IsAbandoned && Clock::now() - Known.m_AbandonedAt > CancelBound;
  if (IsTooLate)
    add("started long after its caller had left: " + Run.m_Task);
  auto Leaving = m_LeavingSince.find(Run.m_Runner);
  if (Leaving != m_LeavingSince.end() &&
      Clock::now() - Leaving->second > LeaveBound)
    add("started on a runner that leaves: " + Run.m_Task);
}

void SoakChecker::ended(const ObservedRun &Run, const std::string &How) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Job *Known = jobOf(Run);
  if (!Known)
    return;
  Task &Now = Known->m_Tasks[Run.m_Task];
  auto Found = Now.m_Running.find(Run.m_Run);
  if (Found != Now.m_Running.end())
    Now.m_Running.erase(Found);
  Now.m_IsDone = Now.m_IsDone || How == "done";
  Now.m_Failures += How == "failed";
  m_UsedAt[Run.m_Runner] -= Known->m_Said.m_MilliCores;
}

void SoakChecker::leaving(const std::string &Runner) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_LeavingSince.emplace(Runner, Clock::now());
}

void SoakChecker::returned(const std::string &Runner) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_LeavingSince.erase(Runner);
}

void SoakChecker::report(const std::string &Violation) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  add(Violation);
}

void SoakChecker::add(const std::string &Violation) {
  m_Violations.push_back(Violation);
}

std::vector<std::string> SoakChecker::violations() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Violations;
}

std::size_t SoakChecker::answers(int Status) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto Found = m_Answers.find(Status);
  return Found == m_Answers.end() ? 0 : Found->second;
}

std::size_t SoakChecker::starts() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Starts;
}

std::size_t SoakChecker::outstanding() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return std::accumulate(m_Jobs.begin(), m_Jobs.end(), std::size_t(0),
                         [](std::size_t Sum, const auto &Known) {
                           return Sum + Known.second.m_Waiting;
                         });
}

} // namespace cyclamenwalk
