#ifndef CYCLAMENWALK_CLI_INTERNAL_COMMAND_H
#define CYCLAMENWALK_CLI_INTERNAL_COMMAND_H

#include "cli/cliprogram.h"
#include "http/types/httpmessage.h"

#include <boost/program_options.hpp>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// The options of one command after parsing.
using CommandOptions = boost::program_options::variables_map;

struct Command {
  std::string m_Name;
  std::string m_Help;
  /// Names of the positional arguments, all required.
  std::vector<std::string> m_Arguments;
  boost::program_options::options_description m_Options;
  std::function<ExitStatus(const CommandOptions &)> m_Run;
};

/// Returns all commands in the order of the help text.
std::vector<Command> makeCommands(const StoreFactory &MakeStore);

/// Add the commands that call an entry, and those that work on local files.
void addRemoteCommands(std::vector<Command> &Commands);
void addLocalCommands(std::vector<Command> &Commands,
                      const StoreFactory &MakeStore);

/// Adds the command that checks a configuration for mistakes.
void addConfigCommand(std::vector<Command> &Commands);

/// Runs \p Cmd with the options and values in \p Arguments.
ExitStatus runCommand(const Command &Cmd,
                      const std::vector<std::string> &Arguments);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CLI_INTERNAL_COMMAND_H
