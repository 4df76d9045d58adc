#include "job/internal/agenttable.h"

#include <algorithm>

namespace cyclamenwalk {

LinkedAgent &AgentTable::add(const Peer &Added) {
  LinkedAgent &Known = m_Agents[Added.m_Incarnation];
  Known = {};
  Known.m_Peer = Added;
  return Known;
}

LinkedAgent *AgentTable::find(Incarnation Agent) {
  auto Found = m_Agents.find(Agent);
  return Found == m_Agents.end() ? nullptr : &Found->second;
}

void AgentTable::erase(Incarnation Agent) { m_Agents.erase(Agent); }

bool AgentTable::canHold(const std::string &Service, std::uint32_t Cpus,
                         std::uint64_t MemoryBytes) const {
  bool IsAnySized = false;
  for (const auto &Known : m_Agents) {
    const BackendState &Backend = Known.second.m_Backend;
    bool SaysItsSize = Backend.m_Cpus > 0 && Backend.m_MemoryBytes > 0;
    if (Backend.m_Service != Service || !SaysItsSize)
      continue;
    IsAnySized = true;
    if (Backend.m_Cpus >= Cpus && Backend.m_MemoryBytes >= MemoryBytes)
      return true;
  }
  return !IsAnySized;
}

std::vector<WorkerStatus> AgentTable::status() const {
  std::vector<WorkerStatus> Workers;
  for (const auto &Known : m_Agents) {
    const LinkedAgent &Agent = Known.second;
    Workers.push_back({Agent.m_Peer.m_Name, Known.first,
                       Agent.m_Peer.m_FailureDomain, Agent.m_Backend.m_Service,
                       Agent.m_Backend.m_Slots, Agent.m_Backend.m_IsLeaving});
  }
  std::sort(Workers.begin(), Workers.end(),
            [](const WorkerStatus &Left, const WorkerStatus &Right) {
              return Left.m_Agent < Right.m_Agent;
            });
  return Workers;
}

} // namespace cyclamenwalk
