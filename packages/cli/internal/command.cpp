#include "cli/internal/command.h"

#include <iostream>

namespace cyclamenwalk {

namespace {

namespace po = boost::program_options;

void printCommandHelp(const Command &Cmd) {
  std::cout << "usage: cyclamenwalk " << Cmd.m_Name;
  for (const std::string &Name : Cmd.m_Arguments)
    std::cout << " <" << Name << ">";
  std::cout << " [options]\n" << Cmd.m_Help << "\n" << Cmd.m_Options;
}

po::options_description describeOptions(const Command &Cmd) {
  po::options_description Description;
  Description.add(Cmd.m_Options);
  Description.add_options()("help", po::bool_switch(), "");
  for (const std::string &Name : Cmd.m_Arguments)
    Description.add_options()(Name.c_str(),
                              po::value<std::string>()->required(), "");
  return Description;
}

} // namespace

std::vector<Command> makeCommands(const StoreFactory &MakeStore) {
  std::vector<Command> Commands;
  addLocalCommands(Commands, MakeStore);
  addConfigCommand(Commands);
  addRemoteCommands(Commands);
  return Commands;
}

ExitStatus runCommand(const Command &Cmd,
                      const std::vector<std::string> &Arguments) {
  po::options_description Description = describeOptions(Cmd);
  po::positional_options_description Positions;
  for (const std::string &Name : Cmd.m_Arguments)
    Positions.add(Name.c_str(), 1);
  CommandOptions Options;
  po::store(po::command_line_parser(Arguments)
                .options(Description)
                .positional(Positions)
                .run(),
            Options);
  if (Options["help"].as<bool>()) {
    printCommandHelp(Cmd);
    return ExitStatus::Ok;
  }
  po::notify(Options);
  return Cmd.m_Run(Options);
}

} // namespace cyclamenwalk
