#include "job/internal/jobtable.h"

#include <algorithm>

namespace cyclamenwalk {

Job &JobTable::add(JobId Id) {
  auto &NewJob = m_Jobs[Id];
  NewJob = std::make_unique<Job>();
  NewJob->m_Id = Id;
  return *NewJob;
}

Job *JobTable::find(JobId Id) {
  auto It = m_Jobs.find(Id);
  return It == m_Jobs.end() ? nullptr : It->second.get();
}

void JobTable::erase(JobId Id) {
  auto It = m_Jobs.find(Id);
  if (It == m_Jobs.end())
    return;
  m_AnswerBytes -= It->second->m_AnswerBytes;
  m_Jobs.erase(It);
  // Jobs expire in nearly the order in which they ended, so the search is
  // short.
  auto EndedIt = std::find(m_Ended.begin(), m_Ended.end(), Id);
  if (EndedIt != m_Ended.end())
    m_Ended.erase(EndedIt);
}

std::vector<JobId> JobTable::markEnded(const Job &EndedJob) {
  m_Ended.push_back(EndedJob.m_Id);
  m_AnswerBytes += EndedJob.m_AnswerBytes;
  std::vector<JobId> Evicted;
  std::size_t Freed = 0;
  for (JobId OldestId : m_Ended) {
    if (m_AnswerBytes - Freed <= m_MaxAnswerBytes || OldestId == EndedJob.m_Id)
      break;
    Freed += m_Jobs.at(OldestId)->m_AnswerBytes;
    Evicted.push_back(OldestId);
  }
  return Evicted;
}

} // namespace cyclamenwalk
