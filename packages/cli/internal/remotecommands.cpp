#include "cli/internal/entryclient.h"

#include "core/error.h"
#include "core/types/ids.h"
#include "settings/desiredstatereader.h"
#include "settings/inidocument.h"

#include <cstdlib>
#include <iostream>

namespace cyclamenwalk {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr Duration SubmitTimeout = seconds(305);

std::string userName() {
  const char *Name = std::getenv("USER");
  return Name ? Name : "unknown";
}

bool asJson(const CommandOptions &Options) {
  return Options["json"].as<bool>();
}

/// The configuration in force as the entry holds it.
Json currentConfiguration(const EntryClient &Entry) {
  HttpResponse Response = Entry.call("GET", "/v1/configuration");
  if (Response.m_Status != HttpOk)
    throw Error(ResultCode::EntryUnreachable,
                "the configuration in force cannot be read: status " +
                    std::to_string(Response.m_Status));
  return Json::parse(Response.m_Body);
}

std::vector<std::string> changesTo(const Json &Current,
                                   const DesiredState &Wanted) {
  DesiredState InForce;
  if (Current["version"] != 0)
    InForce = readDesiredState(Current["text"], "in force");
  return listChanges(InForce, Wanted);
}

ExitStatus runDiff(const CommandOptions &Options) {
  std::string File = Options["file"].as<std::string>();
  DesiredState Wanted = readDesiredState(readFile(File), File);
  EntryClient Entry(Options);
  Json Current = currentConfiguration(Entry);
  auto Changes = changesTo(Current, Wanted);
  if (asJson(Options)) {
    std::cout << Json{{"base", Current["version"]}, {"changes", Changes}}.dump(
                     2)
              << '\n';
    return ExitStatus::Ok;
  }
  for (const std::string &Line : Changes)
    std::cout << Line << '\n';
  std::cout << Changes.size() << " changes to version " << Current["version"]
            << '\n';
  return ExitStatus::Ok;
}

ExitStatus runApply(const CommandOptions &Options) {
  std::string File = Options["file"].as<std::string>();
  std::string Text = readFile(File);
  DesiredState Wanted = readDesiredState(Text, File);
  EntryClient Entry(Options);
  std::string Base = Options.count("base")
                         ? std::to_string(Options["base"].as<std::uint64_t>())
                         : currentConfiguration(Entry)["version"].dump();
  std::string ApplyId = Options.count("apply-id")
                            ? Options["apply-id"].as<std::string>()
                            : toString(generateIncarnation());
  HttpResponse Response =
      Entry.call("POST",
                 "/v1/configuration?apply_id=" + ApplyId + "&base=" + Base +
                     "&operator=" + Options["operator"].as<std::string>(),
                 Text);
  if (Response.m_Status != HttpOk) {
    std::cerr << "apply id " << ApplyId << '\n';
    return reportProblem(Response, asJson(Options));
  }
  Json Record = Json::parse(Response.m_Body);
  if (asJson(Options))
    std::cout << Record.dump(2) << '\n';
  else
    std::cout << "accepted as version " << Record["version"] << ", "
              << Record["changes"].size() << " changes\n";
  return ExitStatus::Ok;
}

ExitStatus runAudit(const CommandOptions &Options) {
  EntryClient Entry(Options);
  HttpResponse Response =
      Entry.call("GET", "/v1/audit?limit=" +
                            std::to_string(Options["limit"].as<unsigned>()));
  if (Response.m_Status != HttpOk)
    return reportProblem(Response, asJson(Options));
  Json Body = Json::parse(Response.m_Body);
  if (asJson(Options)) {
    std::cout << Body.dump(2) << '\n';
    return ExitStatus::Ok;
  }
  for (const Json &Record : Body["records"]) {
    std::cout << Record["accepted_at"].get<std::string>() << " version "
              << Record["version"] << " by "
              << Record["operator"].get<std::string>() << " apply id "
              << Record["apply_id"].get<std::string>() << '\n';
    for (const Json &Line : Record["changes"])
      std::cout << "  " << Line.get<std::string>() << '\n';
  }
  return ExitStatus::Ok;
}

void printStatus(const Json &Status) {
  std::cout << Status["name"].get<std::string>() << " is "
            << Status["state"].get<std::string>() << ", configuration version "
            << Status["configuration_version"] << ", store "
            << (Status["store_answers"].get<bool>() ? "answers"
                                                    : "does not answer")
            << ", " << Status["jobs_running"] << " jobs\n";
  for (const Json &Entry : Status["entries"])
    std::cout << "entry " << Entry["name"].get<std::string>() << " at "
              << Entry["http"].get<std::string>() << '\n';
  for (const Json &Worker : Status["workers"])
    std::cout << "agent " << Worker["agent"].get<std::string>() << " in "
              << Worker["failure_domain"].get<std::string>() << " serves "
              << Worker["service"].get<std::string>() << " with "
              << Worker["slots"] << " slots"
              << (Worker["leaving"].get<bool>() ? ", leaving" : "") << '\n';
  for (const Json &Service : Status["services"])
    std::cout << "service " << Service["service"].get<std::string>() << ": "
              << Service["waiting"] << " waiting, " << Service["in_flight"]
              << " in flight, " << Service["credits"] << " credits\n";
}

ExitStatus runStatus(const CommandOptions &Options) {
  HttpResponse Response = EntryClient(Options).call("GET", "/v1/status");
  if (Response.m_Status != HttpOk)
    return reportProblem(Response, asJson(Options));
  Json Status = Json::parse(Response.m_Body);
  if (asJson(Options))
    std::cout << Status.dump(2) << '\n';
  else
    printStatus(Status);
  return ExitStatus::Ok;
}

ExitStatus runDrain(const CommandOptions &Options) {
  HttpResponse Response = EntryClient(Options).call("POST", "/v1/drain");
  if (Response.m_Status != HttpOk)
    return reportProblem(Response, asJson(Options));
  std::cout << Response.m_Body << '\n';
  return ExitStatus::Ok;
}

Json submission(const CommandOptions &Options) {
  Json Tasks = Json::array();
  Json Payload = Json::parse(Options["payload"].as<std::string>());
  for (unsigned I = 0; I < Options["tasks"].as<unsigned>(); ++I)
    Tasks.push_back(Payload);
  Json Body = {{"service", Options["service"].as<std::string>()},
               {"kind", Options["kind"].as<std::string>()},
               {"team", Options["team"].as<std::string>()},
               {"tasks", Tasks}};
  if (Options.count("deadline-ms"))
    Body["deadline_ms"] = Options["deadline-ms"].as<std::uint64_t>();
  return Body;
}

ExitStatus runSubmit(const CommandOptions &Options) {
  EntryClient Entry(Options);
  HttpResponse Response =
      Entry.call("POST", "/v1/jobs", submission(Options).dump(), SubmitTimeout);
  if (Response.m_Status != HttpOk)
    return reportProblem(Response, asJson(Options));
  Json Body = Json::parse(Response.m_Body);
  if (asJson(Options))
    std::cout << Body.dump(2) << '\n';
  else
    std::cout << "job " << Body["id"].get<std::string>() << ": "
              << Body["answers"].size() << " answers\n";
  return ExitStatus::Ok;
}

Command make(const char *Name, const char *Help,
             std::vector<std::string> Arguments,
             ExitStatus (*Run)(const CommandOptions &)) {
  Command Made{Name, Help, std::move(Arguments), po::options_description(),
               Run};
  addEntryOptions(Made.m_Options);
  return Made;
}

Command makeApply() {
  Command Apply =
      make("apply", "put a configuration file in force", {"file"}, runApply);
  Apply.m_Options.add_options()(
      "base", po::value<std::uint64_t>(),
      "the version the file was made from; the one in force if not given")(
      "apply-id", po::value<std::string>(),
      "repeat with the printed id to learn what became of an apply")(
      "operator", po::value<std::string>()->default_value(userName()),
      "who applies, for the audit trail");
  return Apply;
}

Command makeSubmit() {
  Command Submit =
      make("submit", "submit a job and wait for its answer", {}, runSubmit);
  Submit.m_Options.add_options()(
      "service", po::value<std::string>()->required(), "name of the service")(
      "team", po::value<std::string>()->required(), "name of the team")(
      "kind", po::value<std::string>()->default_value("default"),
      "kind of the tasks")("tasks", po::value<unsigned>()->default_value(1),
                           "number of tasks")(
      "payload", po::value<std::string>()->default_value("{}"),
      "JSON that each task gets")("deadline-ms", po::value<std::uint64_t>(),
                                  "time until the deadline");
  return Submit;
}

} // namespace

void addRemoteCommands(std::vector<Command> &Commands) {
  Commands.push_back(makeApply());
  Commands.push_back(make("diff", "show what applying a file would change",
                          {"file"}, runDiff));
  Commands.push_back(make("status", "show what an entry knows", {}, runStatus));
  Command Audit =
      make("audit", "show the accepted configurations", {}, runAudit);
  Audit.m_Options.add_options()(
      "limit", po::value<unsigned>()->default_value(20), "number of records");
  Commands.push_back(Audit);
  Commands.push_back(
      make("drain", "let an entry end its work and stop", {}, runDrain));
  Commands.push_back(makeSubmit());
}

} // namespace cyclamenwalk
