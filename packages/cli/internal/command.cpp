#include "cli/internal/command.h"

#include <iostream>

namespace cyclamenwalk {

namespace {

namespace po = boost::program_options;

void printCommandHelp(const Command &Chosen) {
  std::cout << "usage: cyclamenwalk " << Chosen.m_Name;
  for (const std::string &Name : Chosen.m_Arguments)
    std::cout << " <" << Name << ">";
  std::cout << " [options]\n" << Chosen.m_Help << "\n" << Chosen.m_Options;
}

po::options_description withArguments(const Command &Chosen) {
  po::options_description All;
  All.add(Chosen.m_Options);
  All.add_options()("help", po::bool_switch(), "");
  for (const std::string &Name : Chosen.m_Arguments)
    All.add_options()(Name.c_str(), po::value<std::string>()->required(), "");
  return All;
}

} // namespace

std::vector<Command> makeCommands(const StoreFactory &MakeStore) {
  std::vector<Command> Commands;
  addLocalCommands(Commands, MakeStore);
  addRemoteCommands(Commands);
  return Commands;
}

ExitStatus runCommand(const Command &Chosen,
                      const std::vector<std::string> &Arguments) {
  po::options_description All = withArguments(Chosen);
  po::positional_options_description Positions;
  for (const std::string &Name : Chosen.m_Arguments)
    Positions.add(Name.c_str(), 1);
  CommandOptions Options;
  po::store(po::command_line_parser(Arguments)
                .options(All)
                .positional(Positions)
                .run(),
            Options);
  if (Options["help"].as<bool>()) {
    printCommandHelp(Chosen);
    return ExitStatus::Ok;
  }
  po::notify(Options);
  return Chosen.m_Run(Options);
}

} // namespace cyclamenwalk
