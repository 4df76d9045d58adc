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
  std::istringstream Stream(Line);
  std::string Event;
  std::string Task;
  std::string Run;
  std::string Reference;
  Stream >> Event >> Task >> Run >> Reference;
  if (Event == "start") {
    ++m_Starts[Task];
    if (Reference != "-")
      ++m_ReferenceStarts[Reference];
  }
  if (Event == "done")
    m_Done.insert(Task);
}

int BackendLog::starts(const std::string &Task) const {
  auto It = m_Starts.find(Task);
  return It == m_Starts.end() ? 0 : It->second;
}

int BackendLog::starts() const {
  int Sum = 0;
  for (const auto &Entry : m_Starts)
    Sum += Entry.second;
  return Sum;
}

int BackendLog::referenceStarts(const std::string &Reference) const {
  auto It = m_ReferenceStarts.find(Reference);
  return It == m_ReferenceStarts.end() ? 0 : It->second;
}

bool BackendLog::isDone(const std::string &Task) const {
  return m_Done.count(Task) > 0;
}

bool BackendLog::hasStartOfJob(const std::string &Job) const {
  std::string Prefix = Job + "-";
  auto It = m_Starts.lower_bound(Prefix);
  return It != m_Starts.end() && It->first.rfind(Prefix, 0) == 0;
}

namespace {

class Checker {
public:
  explicit Checker(const BackendLog &Log) : m_Log(Log) {}

  void checkStarts() {
    for (const auto &Entry : m_Log.startsByTask())
      if (Entry.second > 1)
        addViolation("task " + Entry.first + " started " +
                     std::to_string(Entry.second) +
                     " times; expected at most 1");
  }

  void checkAnswer(const CallerAnswer &Answer) {
    if (!Answer.m_Reference.empty() &&
        m_Log.referenceStarts(Answer.m_Reference) >
            static_cast<int>(Answer.m_Tasks))
      addViolation("request " + Answer.m_Reference + " started " +
                   std::to_string(m_Log.referenceStarts(Answer.m_Reference)) +
                   " tasks; expected at most " +
                   std::to_string(Answer.m_Tasks));
    if (Answer.m_Job.empty())
      return;
    if (outcomeOf(Answer.m_Code) == Outcome::DidNotRun &&
        m_Log.hasStartOfJob(Answer.m_Job))
      addViolation("job " + Answer.m_Job +
                   " was reported as not run with code " +
                   std::to_string(static_cast<int>(Answer.m_Code)) +
                   ", but a task of it started");
    if (Answer.m_Code == ResultCode::Ok)
      checkCompleted(Answer);
    else if (!Answer.m_AnsweredTaskIds.empty())
      addViolation("job " + Answer.m_Job + " failed with code " +
                   std::to_string(static_cast<int>(Answer.m_Code)) +
                   ", but has " +
                   std::to_string(Answer.m_AnsweredTaskIds.size()) +
                   " answers; expected none");
  }

  std::vector<std::string> takeViolations() { return std::move(m_Violations); }

private:
  void checkCompleted(const CallerAnswer &Answer) {
    if (Answer.m_AnsweredTaskIds.size() != Answer.m_Tasks)
      addViolation("job " + Answer.m_Job + " has " +
                   std::to_string(Answer.m_AnsweredTaskIds.size()) +
                   " answers; expected " + std::to_string(Answer.m_Tasks));
    for (std::size_t I = 0; I < Answer.m_AnsweredTaskIds.size(); ++I) {
      std::string ExpectedTask = Answer.m_Job + "-" + std::to_string(I);
      if (Answer.m_AnsweredTaskIds[I] != ExpectedTask)
        addViolation("job " + Answer.m_Job + " got the answer of task " +
                     Answer.m_AnsweredTaskIds[I] + " for task " + ExpectedTask);
      if (!m_Log.isDone(ExpectedTask))
        addViolation("task " + ExpectedTask +
                     " was answered, but no backend server has logged its end");
    }
  }

  void addViolation(const std::string &Violation) {
    m_Violations.push_back(Violation);
  }

  const BackendLog &m_Log;
  std::vector<std::string> m_Violations;
};

} // namespace

std::vector<std::string>
findViolations(const BackendLog &Log,
               const std::vector<CallerAnswer> &Answers) {
  Checker Check(Log);
  Check.checkStarts();
  for (const CallerAnswer &Answer : Answers)
    Check.checkAnswer(Answer);
  return Check.takeViolations();
}

} // namespace cyclamenwalk
