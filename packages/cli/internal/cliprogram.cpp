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
  for (const Command &Cmd : Commands)
    Out << "  " << Cmd.m_Name << std::string(10 - Cmd.m_Name.size(), ' ')
        << Cmd.m_Help << '\n';
  Out << "\ncyclamenwalk <command> --help shows its options.\n"
         "exit status: 0 success, 1 refused or failed, 2 invalid command line, "
         "3 invalid file,\n             4 no entry responded, 5 another "
         "configuration was accepted first,\n             6 outcome unknown\n";
}

ExitStatus reportError(const Error &Caught) {
  bool IsFileError = dynamic_cast<const SettingsError *>(&Caught) != nullptr;
  if (IsFileError)
    std::cerr << Caught.what() << '\n';
  else
    std::cerr << "error " << static_cast<int>(Caught.code()) << ": "
              << Caught.what() << '\n';
  if (IsFileError)
    return ExitStatus::Invalid;
  return Caught.code() == ResultCode::EntryUnreachable ? ExitStatus::Unreachable
                                                       : ExitStatus::Failed;
}

/// Prints an error that \p Run throws and returns its exit status.
template <typename Callable> ExitStatus runReportingErrors(Callable Run) {
  try {
    return Run();
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
  for (const Command &Cmd : Commands)
    if (Cmd.m_Name == Name)
      return runReportingErrors([&] {
        return runCommand(Cmd, {Arguments.begin() + 1, Arguments.end()});
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
  return runReportingErrors(
      [&] { return serveAgent(Arguments[0], MakeStore); });
}

} // namespace cyclamenwalk
