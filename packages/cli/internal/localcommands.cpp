#include "cli/internal/command.h"

#include "core/log.h"
#include "core/types/resultcode.h"
#include "entry/entryprogram.h"
#include "settings/desiredstatereader.h"
#include "settings/inidocument.h"
#include "settings/processsettings.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

ExitStatus runServe(const CommandOptions &Options,
                    const StoreFactory &MakeStore) {
  EntrySettings Settings =
      readEntrySettings(Options["settings"].as<std::string>());
  startLogging(Settings.m_Process.m_Name, Settings.m_Process.m_LogLevel);
  EntryProgram(Settings, MakeStore).run();
  stopLogging();
  return ExitStatus::Ok;
}

ExitStatus runCheck(const CommandOptions &Options) {
  std::string File = Options["file"].as<std::string>();
  DesiredState State = readDesiredState(readFile(File), File);
  std::cout << File << ": valid, " << State.m_Services.size() << " services, "
            << State.m_Teams.size() << " teams\n";
  return ExitStatus::Ok;
}

void printCodesAsTable() {
  std::cout << "| number | name | HTTP | outcome | meaning |\n"
               "| --- | --- | --- | --- | --- |\n";
  for (const ResultCodeInfo &Info : resultCodes())
    std::cout << "| " << static_cast<int>(Info.m_Code) << " | " << Info.m_Name
              << " | " << Info.m_HttpStatus << " | " << toString(Info.m_Outcome)
              << " | " << Info.m_Text << " |\n";
}

ExitStatus runCodes(const CommandOptions &Options) {
  if (!Options["json"].as<bool>()) {
    printCodesAsTable();
    return ExitStatus::Ok;
  }
  Json List = Json::array();
  for (const ResultCodeInfo &Info : resultCodes())
    List.push_back({{"code", static_cast<int>(Info.m_Code)},
                    {"name", Info.m_Name},
                    {"status", Info.m_HttpStatus},
                    {"outcome", toString(Info.m_Outcome)},
                    {"text", Info.m_Text}});
  std::cout << List.dump(2) << '\n';
  return ExitStatus::Ok;
}

} // namespace

void addLocalCommands(std::vector<Command> &Commands,
                      const StoreFactory &MakeStore) {
  Commands.push_back({"serve",
                      "run an entry with a settings file",
                      {"settings"},
                      po::options_description(),
                      [MakeStore](const CommandOptions &Options) {
                        return runServe(Options, MakeStore);
                      }});
  Commands.push_back({"check",
                      "check a configuration file without applying it",
                      {"file"},
                      po::options_description(),
                      runCheck});
  po::options_description CodesOptions;
  CodesOptions.add_options()("json", po::bool_switch(), "print data as JSON");
  Commands.push_back(
      {"codes", "list the result codes", {}, CodesOptions, runCodes});
}

} // namespace cyclamenwalk
