#include "support/checker.h"

#include <fstream>
#include <sstream>

namespace cyclamenwalk {

void BackendLog::addFile(const std::string &Path) {
  std::ifstream Stream(Path);
  for (std::string Line; std::getline(Stream, Line);)
    addLine(Line);
}

void BackendLog::addLine(const std::string &Line) {
  std::istringstream In(Line);
  std::string What;
  std::string Task;
  std::string Run;
  std::string Reference;
  In >> What >> Task >> Run >> Reference;
  if (What == "start") {
    ++m_Starts[Task];
    if (Reference != "-")
      ++m_ReferenceStarts[Reference];
  }
  if (What == "done")
    m_Done.insert(Task);
}

int BackendLog::starts(const std::string &Task) const {
  auto Found = m_Starts.find(Task);
  return Found == m_Starts.end() ? 0 : Found->second;
}

int BackendLog::starts() const {
  int Sum = 0;
  for (const auto &Known : m_Starts)
    Sum += Known.second;
  return Sum;
}

int BackendLog::referenceStarts(const std::string &Reference) const {
  auto Found = m_ReferenceStarts.find(Reference);
  return Found == m_ReferenceStarts.end() ? 0 : Found->second;
}

bool BackendLog::isDone(const std::string &Task) const {
  return m_Done.count(Task) > 0;
}

bool BackendLog::hasStartOfJob(const std::string &Job) const {
  std::string Prefix = Job + "-";
  auto At = m_Starts.lower_bound(Prefix);
  return At != m_Starts.end() && At->first.rfind(Prefix, 0) == 0;
}

namespace {

class Checker {
public:
  explicit Checker(const BackendLog &Log) : m_Log(Log) {}

  void checkStarts() {
    for (const auto &Known : m_Log.allStarts())
      if (Known.second > 1)
        add("task " + Known.first + " started " + std::to_string(Known.second) +
            " times");
  }

  void checkAnswer(const CallerAnswer &Told) {
    if (!Told.m_Reference.empty() && m_Log.referenceStarts(Told.m_Reference) >
                                         static_cast<int>(Told.m_Tasks))
      add("request " + Told.m_Reference + " ran more than once");
    if (Told.m_Job.empty())
      return;
    if (outcomeOf(Told.m_Code) == Outcome::DidNotRun &&
        m_Log.hasStartOfJob(Told.m_Job))
      add("job " + Told.m_Job + " is said not to have run, but it started");
    if (Told.m_Code == ResultCode::Ok)
      checkWhole(Told);
    else if (!Told.m_AnsweredTasks.empty())
      add("job " + Told.m_Job + " failed, but has answers");
  }

  std::vector<std::string> take() { return std::move(m_Found); }

private:
  void checkWhole(const CallerAnswer &Told) {
    if (Told.m_AnsweredTasks.size() != Told.m_Tasks)
      add("job " + Told.m_Job + " has " +
          std::to_string(Told.m_AnsweredTasks.size()) + " answers for " +
          std::to_string(Told.m_Tasks) + " tasks");
    for (std::size_t I = 0; I < Told.m_AnsweredTasks.size(); ++I) {
      std::string Wanted = Told.m_Job + "-" + std::to_string(I);
      if (Told.m_AnsweredTasks[I] != Wanted)
        add("job " + Told.m_Job + " got the answer of task " +
            Told.m_AnsweredTasks[I] + " for task " + Wanted);
      if (!m_Log.isDone(Wanted))
        add("task " + Wanted + " is answered, but not done");
    }
  }

  void add(const std::string &Violation) { m_Found.push_back(Violation); }

  const BackendLog &m_Log;
  std::vector<std::string> m_Found;
};

} // namespace

std::vector<std::string> findViolations(const BackendLog &Log,
                                        const std::vector<CallerAnswer> &Told) {
  Checker Check(Log);
  Check.checkStarts();
  for (const CallerAnswer &Answer : Told)
    Check.checkAnswer(Answer);
  return Check.take();
}

} // namespace cyclamenwalk
