#ifndef CYCLAMENWALK_JOB_INTERNAL_AGENTTABLE_H
#define CYCLAMENWALK_JOB_INTERNAL_AGENTTABLE_H

#include "job/types/entrystatus.h"
#include "membership/types/peer.h"

#include <map>
#include <unordered_map>

namespace cyclamenwalk {

/// A task in flight at an agent.
struct SentTask {
  CreditId m_Credit;
  std::string m_Team;
};

/// An agent with a link to this entry.
struct LinkedAgent {
  Peer m_Peer;
  BackendState m_Backend;
  /// Tasks that were sent to the agent and have not ended.
  std::map<TaskId, SentTask> m_InFlight;
};

/// The agents with a link to this entry.
class AgentTable {
public:
  LinkedAgent &add(const Peer &AgentPeer);
  LinkedAgent *find(Incarnation Agent);
  void erase(Incarnation Agent);

  /// Returns true if a backend server of the service has the given cores and
  /// memory, or if none of them has reported its capacity.
  bool hasCapacityFor(const std::string &Service, std::uint32_t Cpus,
                      std::uint64_t MemoryBytes) const;

  std::vector<WorkerStatus> status() const;

private:
  std::unordered_map<Incarnation, LinkedAgent> m_Agents;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_INTERNAL_AGENTTABLE_H
