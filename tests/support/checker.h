#ifndef CYCLAMENWALK_TESTS_SUPPORT_CHECKER_H
#define CYCLAMENWALK_TESTS_SUPPORT_CHECKER_H

#include "core/types/resultcode.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// The answer that a caller got to one request.
struct CallerAnswer {
  /// The id of the job; empty when the caller got no answer.
  std::string m_Job;
  /// The caller's reference of a request that must not run twice, else empty.
  std::string m_Reference;
  ResultCode m_Code = ResultCode::Ok;
  std::size_t m_Tasks = 0;
  /// The task ids of the answers, in their order.
  std::vector<std::string> m_AnsweredTaskIds;
};

/// The task starts and ends in the logs of the backend servers.
class BackendLog {
public:
  void addFile(const std::string &Path);
  void addLine(const std::string &Line);

  int starts(const std::string &Task) const;
  int starts() const;
  int referenceStarts(const std::string &Reference) const;
  bool isDone(const std::string &Task) const;
  bool hasStartOfJob(const std::string &Job) const;
  const std::map<std::string, int> &startsByTask() const { return m_Starts; }

private:
  std::map<std::string, int> m_Starts;
  std::map<std::string, int> m_ReferenceStarts;
  std::set<std::string> m_Done;
};

/// Compares the answers with the log. Returns one line for each violation of a
/// guarantee.
std::vector<std::string>
findViolations(const BackendLog &Log, const std::vector<CallerAnswer> &Answers);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SUPPORT_CHECKER_H
