#ifndef CYCLAMENWALK_JOB_INTERNAL_AGENTTABLE_H
#define CYCLAMENWALK_JOB_INTERNAL_AGENTTABLE_H

#include "job/types/sitestatus.h"
#include "membership/types/peer.h"

#include <map>
#include <unordered_map>

namespace cyclamenwalk {

/// A task that was sent to an agent.
struct SentTask {
  CreditId m_Credit;
  std::string m_Team;
};

/// An agent that this entry is linked to.
struct LinkedAgent {
  Peer m_Peer;
  BackendState m_Backend;
  /// Tasks sent there and not ended.
  std::map<TaskId, SentTask> m_InFlight;
};

/// The agents that this entry is linked to.
class AgentTable {
public:
  LinkedAgent &add(const Peer &Added);
  LinkedAgent *find(Incarnation Agent);
  void erase(Incarnation Agent);

  /// Whether some backend server of the service has that much, or none has
  /// said what it has.
  bool canHold(const std::string &Service, std::uint32_t Cpus,
               std::uint64_t MemoryBytes) const;

  std::vector<WorkerStatus> status() const;

private:
  std::unordered_map<Incarnation, LinkedAgent> m_Agents;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_INTERNAL_AGENTTABLE_H
