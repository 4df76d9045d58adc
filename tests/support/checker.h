#ifndef CYCLAMENWALK_TESTS_SUPPORT_CHECKER_H
#define CYCLAMENWALK_TESTS_SUPPORT_CHECKER_H

#include "core/types/resultcode.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// What a caller was told about one request.
struct CallerAnswer {
  /// The job's id; empty when the caller got no answer.
  std::string m_Job;
  /// The caller's own name for the request; empty when it may repeat it.
  std::string m_Reference;
  ResultCode m_Code = ResultCode::Ok;
  std::size_t m_Tasks = 0;
  /// The task that each answer names, in their order.
  std::vector<std::string> m_AnsweredTasks;
};

/// What the backend servers did, read from their logs.
class BackendLog {
public:
  void addFile(const std::string &Path);
  void addLine(const std::string &Line);

  int starts(const std::string &Task) const;
  int starts() const;
  int referenceStarts(const std::string &Reference) const;
  bool isDone(const std::string &Task) const;
  bool hasStartOfJob(const std::string &Job) const;
  const std::map<std::string, int> &allStarts() const { return m_Starts; }

private:
  std::map<std::string, int> m_Starts;
  std::map<std::string, int> m_ReferenceStarts;
  std::set<std::string> m_Done;
};

/// Holds the answers against the log. Each violation of a promise is one line;
/// none means that every promise held.
std::vector<std::string> findViolations(const BackendLog &Log,
                                        const std::vector<CallerAnswer> &Told);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SUPPORT_CHECKER_H
