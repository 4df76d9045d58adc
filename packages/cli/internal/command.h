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

/// One command of the program.
struct Command {
  std::string m_Name;
  std::string m_Help;
  /// Names of the positional arguments, all required.
  std::vector<std::string> m_Arguments;
  boost::program_options::options_description m_Options;
  std::function<ExitStatus(const CommandOptions &)> m_Run;
};

/// All commands, in the order in which they are listed.
std::vector<Command> makeCommands(const StoreFactory &MakeStore);

/// The commands that talk to an entry, and those that work on files.
void addRemoteCommands(std::vector<Command> &Commands);
void addLocalCommands(std::vector<Command> &Commands,
                      const StoreFactory &MakeStore);

/// Parses \p Arguments for \p Chosen and runs it.
ExitStatus runCommand(const Command &Chosen,
                      const std::vector<std::string> &Arguments);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CLI_INTERNAL_COMMAND_H
