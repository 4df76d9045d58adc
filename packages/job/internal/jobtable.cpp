#include "job/internal/jobtable.h"

#include <algorithm>

namespace cyclamenwalk {

Job &JobTable::add(JobId Id) {
  auto &Added = m_Jobs[Id];
  Added = std::make_unique<Job>();
  Added->m_Id = Id;
  return *Added;
}

Job *JobTable::find(JobId Id) {
  auto Found = m_Jobs.find(Id);
  return Found == m_Jobs.end() ? nullptr : Found->second.get();
}

void JobTable::erase(JobId Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  m_AnswerBytes -= Found->second->m_AnswerBytes;
  m_Jobs.erase(Found);
  // Jobs are forgotten in about the order in which they ended.
  auto Place = std::find(m_Ended.begin(), m_Ended.end(), Id);
  if (Place != m_Ended.end())
    m_Ended.erase(Place);
}

std::vector<JobId> JobTable::noteEnded(const Job &Ended) {
  m_Ended.push_back(Ended.m_Id);
  m_AnswerBytes += Ended.m_AnswerBytes;
  std::vector<JobId> MakeRoom;
  std::size_t Freed = 0;
  for (JobId Oldest : m_Ended) {
    if (m_AnswerBytes - Freed <= m_MaxAnswerBytes || Oldest == Ended.m_Id)
      break;
    Freed += m_Jobs.at(Oldest)->m_AnswerBytes;
    MakeRoom.push_back(Oldest);
  }
  return MakeRoom;
}

} // namespace cyclamenwalk
