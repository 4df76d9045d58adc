#ifndef CYCLAMENWALK_JOB_INTERNAL_JOBTABLE_H
#define CYCLAMENWALK_JOB_INTERNAL_JOBTABLE_H

#include "job/internal/job.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace cyclamenwalk {

/// The jobs of this entry by id. Ended jobs stay until their answers expire or
/// the answers together exceed the memory limit.
class JobTable {
public:
  explicit JobTable(std::size_t MaxAnswerBytes)
      : m_MaxAnswerBytes(MaxAnswerBytes) {}

  Job &add(JobId Id);
  Job *find(JobId Id);
  void erase(JobId Id);

  /// Records that \p EndedJob has ended. Returns the oldest ended jobs that
  /// have to be erased to keep the memory limit.
  std::vector<JobId> markEnded(const Job &EndedJob);

  /// Returns the number of jobs that have not ended.
  std::size_t running() const { return m_Jobs.size() - m_Ended.size(); }

private:
  const std::size_t m_MaxAnswerBytes;
  std::unordered_map<JobId, std::unique_ptr<Job>> m_Jobs;
  /// Ended jobs, oldest first.
  std::deque<JobId> m_Ended;
  std::size_t m_AnswerBytes = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_INTERNAL_JOBTABLE_H
