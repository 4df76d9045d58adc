#include "cli/cliprogram.h"

#include "agent/agentprogram.h"
#include "cli/internal/command.h"
#include "core/error.h"
#include "core/log.h"
#include "settings/types/problem.h"

#include <iostream>

namespace cyclamenwalk {

namespace {

namespace po = boost::program_options;

const char *const Version = CW_VERSION;

void printHelp(std::ostream &Out, const std::vector<Command> &Commands) {
  Out << "usage: cyclamenwalk <command> [options]\n\ncommands:\n";
  for (const Command &Known : Commands)
    Out << "  " << Known.m_Name << std::string(10 - Known.m_Name.size(), ' ')
        << Known.m_Help << '\n';
  Out << "\ncyclamenwalk <command> --help shows its options.\n"
         "exit status: 0 done, 1 refused or failed, 2 wrong command line, "
         "3 file not valid,\n             4 no entry answers, 5 another "
         "configuration won, 6 outcome unknown\n";
}

ExitStatus reportError(const Error &Caught) {
  bool IsAboutFile = dynamic_cast<const SettingsError *>(&Caught) != nullptr;
  if (IsAboutFile)
    std::cerr << Caught.what() << '\n';
  else
    std::cerr << "error " << static_cast<int>(Caught.code()) << ": "
              << Caught.what() << '\n';
  if (IsAboutFile)
    return ExitStatus::Invalid;
  return Caught.code() == ResultCode::EntryUnreachable ? ExitStatus::Unreachable
                                                       : ExitStatus::Failed;
}

/// Runs \p Body and reports what it throws.
template <typename Call> ExitStatus reporting(Call Body) {
  try {
    return Body();
  } catch (const po::error &Caught) {
    std::cerr << "error " << static_cast<int>(ResultCode::Usage) << ": "
              << Caught.what() << '\n';
    return ExitStatus::Usage;
  } catch (const Error &Caught) {
    return reportError(Caught);
  } catch (const std::exception &Caught) {
    std::cerr << "error " << static_cast<int>(ResultCode::Internal) << ": "
              << Caught.what() << '\n';
    return ExitStatus::Failed;
  }
}

ExitStatus serveAgent(const std::string &File, const StoreFactory &MakeStore) {
  AgentSettings Settings = readAgentSettings(File);
  startLogging(Settings.m_Process.m_Name, Settings.m_Process.m_LogLevel);
  AgentProgram(Settings, MakeStore).run();
  stopLogging();
  return ExitStatus::Ok;
}

} // namespace

ExitStatus runCli(const std::vector<std::string> &Arguments,
                  const StoreFactory &MakeStore) {
  std::vector<Command> Commands = makeCommands(MakeStore);
  std::string Name = Arguments.empty() ? "" : Arguments[0];
  if (Name == "--version") {
    std::cout << "cyclamenwalk " << Version << '\n';
    return ExitStatus::Ok;
  }
  if (Name == "--help") {
    printHelp(std::cout, Commands);
    return ExitStatus::Ok;
  }
  for (const Command &Known : Commands)
    if (Known.m_Name == Name)
      return reporting([&] {
        return runCommand(Known, {Arguments.begin() + 1, Arguments.end()});
      });
  printHelp(std::cerr, Commands);
  return ExitStatus::Usage;
}

ExitStatus runAgentCli(const std::vector<std::string> &Arguments,
                       const StoreFactory &MakeStore) {
  const char *const Help = "usage: cyclamenwalk-agent <settings>\n"
                           "       cyclamenwalk-agent --version | --help\n";
  if (Arguments.size() != 1) {
    std::cerr << Help;
    return ExitStatus::Usage;
  }
  if (Arguments[0] == "--version") {
    std::cout << "cyclamenwalk-agent " << Version << '\n';
    return ExitStatus::Ok;
  }
  if (Arguments[0] == "--help") {
    std::cout << Help;
    return ExitStatus::Ok;
  }
  return reporting([&] { return serveAgent(Arguments[0], MakeStore); });
}

} // namespace cyclamenwalk
