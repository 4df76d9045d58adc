#ifndef CYCLAMENWALK_CLI_CLIPROGRAM_H
#define CYCLAMENWALK_CLI_CLIPROGRAM_H

#include "store/storemodule.h"

#include <string>
#include <vector>

namespace cyclamenwalk {

enum class ExitStatus : int {
  Ok = 0,
  /// The request was refused or has failed.
  Failed = 1,
  /// The command line is invalid.
  Usage = 2,
  /// A settings or configuration file is invalid.
  Invalid = 3,
  /// No entry responded.
  Unreachable = 4,
  /// Another configuration was accepted first.
  Stale = 5,
  /// The request may or may not have run.
  OutcomeUnknown = 6
};

/// Runs the program cyclamenwalk: an entry or one operator command.
ExitStatus runCli(const std::vector<std::string> &Arguments,
                  const StoreFactory &MakeStore);

/// Runs the program cyclamenwalk-agent.
ExitStatus runAgentCli(const std::vector<std::string> &Arguments,
                       const StoreFactory &MakeStore);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CLI_CLIPROGRAM_H
