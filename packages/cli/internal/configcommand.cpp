#include "cli/internal/entryclient.h"

#include "core/error.h"
#include "settings/configurationreport.h"
#include "settings/desiredstatereader.h"
#include "settings/inidocument.h"

#include <algorithm>
#include <iostream>

namespace cyclamenwalk {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

/// The file cannot be checked, or not be compared.
constexpr ExitStatus CannotTell = ExitStatus::Usage;

bool isVersion(const std::string &Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char Letter) { return std::isdigit(Letter); });
}

Json fetchJson(const EntryClient &Entry, const std::string &Path) {
  HttpResponse Response = Entry.call("GET", Path);
  if (Response.m_Status != HttpOk)
    throw Error(ResultCode::EntryUnreachable,
                "GET " + Path + ": expected status 200, got " +
                    std::to_string(Response.m_Status));
  return Json::parse(Response.m_Body);
}

/// The configuration to compare with.
struct Base {
  std::string m_Name;
  DesiredState m_State;
};

/// Reads the version in force at an entry, and which services have servers
/// there.
Base fetchBase(const std::string &Version, const EntryClient &Entry,
               CheckFacts &Facts) {
  Json Current = fetchJson(Entry, "/v1/configuration");
  if (Current["version"].dump() != Version)
    throw Error(ResultCode::StaleConfiguration, "expected version " + Version +
                                                    " in force, got version " +
                                                    Current["version"].dump());
  Base Against{"version " + Version, {}};
  if (Version != "0")
    Against.m_State = readDesiredState(Current["text"], Against.m_Name);
  Facts.m_ServedServices.emplace();
  for (const Json &Worker : fetchJson(Entry, "/v1/status")["workers"])
    Facts.m_ServedServices->insert(Worker["service"].get<std::string>());
  return Against;
}

std::optional<Base> readBase(const CommandOptions &Options, CheckFacts &Facts) {
  if (!Options.count("against"))
    return std::nullopt;
  std::string Name = Options["against"].as<std::string>();
  if (isVersion(Name))
    return fetchBase(Name, EntryClient(Options), Facts);
  return Base{Name, readDesiredState(readFile(Name), Name)};
}

ExitStatus check(const CommandOptions &Options) {
  ConfigurationReport Report;
  Report.m_File = Options["file"].as<std::string>();
  std::string Text = readFile(Report.m_File);
  CheckFacts Facts;
  std::optional<Base> Against = readBase(Options, Facts);
  std::optional<DesiredState> State;
  Report.m_Findings = checkIniConfiguration(Text, Report.m_File, Facts, State);
  if (Against && State)
    Report.m_Difference = {Against->m_Name,
                           listChanges(Against->m_State, *State)};
  std::cout << (Options["json"].as<bool>() ? formatAsJson(Report)
                                           : formatAsText(Report));
  return Report.m_Findings.empty() ? ExitStatus::Ok : ExitStatus::Failed;
}

ExitStatus runConfig(const CommandOptions &Options) {
  std::string Action = Options["action"].as<std::string>();
  if (Action != "check")
    throw po::error("config " + Action + ": expected config check");
  try {
    return check(Options);
  } catch (const SettingsError &Caught) {
    std::cerr << Caught.what() << '\n';
  } catch (const Error &Caught) {
    std::cerr << "error " << static_cast<int>(Caught.code()) << ": "
              << Caught.what() << '\n';
  } catch (const Json::exception &Caught) {
    std::cerr << "error " << static_cast<int>(ResultCode::MalformedBody) << ": "
              << Caught.what() << '\n';
  }
  return CannotTell;
}

} // namespace

void addConfigCommand(std::vector<Command> &Commands) {
  Command Config{"config",
                 "find mistakes in a configuration: config check FILE",
                 {"action", "file"},
                 po::options_description(),
                 runConfig};
  addEntryOptions(Config.m_Options);
  Config.m_Options.add_options()(
      "against", po::value<std::string>(),
      "show the differences from a file or from the version in force at the "
      "entry");
  Commands.push_back(Config);
}

} // namespace cyclamenwalk
