#ifndef CYCLAMENWALK_AGENT_AGENTPROGRAM_H
#define CYCLAMENWALK_AGENT_AGENTPROGRAM_H

#include "settings/processsettings.h"
#include "store/storemodule.h"

#include <memory>

namespace cyclamenwalk {

/// The agent process, which runs next to one backend server and manages its
/// slots.
class AgentProgram {
public:
  /// Throws Error when an address is in use or a chart is invalid.
  AgentProgram(const AgentSettings &Settings, const StoreFactory &MakeStore);
  ~AgentProgram();

  /// Serves on the calling thread, which becomes the control thread, until a
  /// signal has drained the process.
  void run();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_AGENT_AGENTPROGRAM_H
