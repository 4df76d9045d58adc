#include "job/internal/agenttable.h"

#include <algorithm>

namespace cyclamenwalk {

LinkedAgent &AgentTable::add(const Peer &AgentPeer) {
  LinkedAgent &Agent = m_Agents[AgentPeer.m_Incarnation];
  Agent = {};
  Agent.m_Peer = AgentPeer;
  return Agent;
}

LinkedAgent *AgentTable::find(Incarnation Agent) {
  auto It = m_Agents.find(Agent);
  return It == m_Agents.end() ? nullptr : &It->second;
}

void AgentTable::erase(Incarnation Agent) { m_Agents.erase(Agent); }

bool AgentTable::hasCapacityFor(const std::string &Service, std::uint32_t Cpus,
                                std::uint64_t MemoryBytes) const {
  bool IsCapacityKnown = false;
  for (const auto &IdAndAgent : m_Agents) {
    const BackendState &Backend = IdAndAgent.second.m_Backend;
    bool ReportsCapacity = Backend.m_Cpus > 0 && Backend.m_MemoryBytes > 0;
    if (Backend.m_Service != Service || !ReportsCapacity)
      continue;
    IsCapacityKnown = true;
    if (Backend.m_Cpus >= Cpus && Backend.m_MemoryBytes >= MemoryBytes)
      return true;
  }
  return !IsCapacityKnown;
}

std::vector<WorkerStatus> AgentTable::status() const {
  std::vector<WorkerStatus> Workers;
  for (const auto &IdAndAgent : m_Agents) {
    const LinkedAgent &Agent = IdAndAgent.second;
    Workers.push_back({Agent.m_Peer.m_Name, IdAndAgent.first,
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
