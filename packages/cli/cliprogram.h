#ifndef CYCLAMENWALK_CLI_CLIPROGRAM_H
#define CYCLAMENWALK_CLI_CLIPROGRAM_H

#include "store/storemodule.h"

#include <string>
#include <vector>

namespace cyclamenwalk {

/// Exit statuses of the programs.
enum class ExitStatus : int {
  Ok = 0,
  /// The request was refused or has failed.
  Failed = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A file is not valid.
  Invalid = 3,
  /// No entry answers.
  Unreachable = 4,
  /// Another configuration was accepted first.
  Stale = 5,
  /// Nobody knows whether the request ran.
  OutcomeUnknown = 6
};

/// The program cyclamenwalk: the entry and the operator's command line.
ExitStatus runCli(const std::vector<std::string> &Arguments,
                  const StoreFactory &MakeStore);

/// The program cyclamenwalk-agent.
ExitStatus runAgentCli(const std::vector<std::string> &Arguments,
                       const StoreFactory &MakeStore);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CLI_CLIPROGRAM_H
