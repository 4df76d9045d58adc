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

Json fetchCurrentConfiguration(const EntryClient &Entry) {
  HttpResponse Response = Entry.call("GET", "/v1/configuration");
  if (Response.m_Status != HttpOk)
    throw Error(ResultCode::EntryUnreachable,
                "GET /v1/configuration: expected status 200, got " +
                    std::to_string(Response.m_Status));
  return Json::parse(Response.m_Body);
}

std::vector<std::string> listChangesFrom(const Json &Current,
                                         const DesiredState &NewState) {
  DesiredState CurrentState;
  if (Current["version"] != 0)
    CurrentState = readDesiredState(Current["text"], "current configuration");
  return listChanges(CurrentState, NewState);
}

ExitStatus runDiff(const CommandOptions &Options) {
  std::string File = Options["file"].as<std::string>();
  DesiredState NewState = readDesiredState(readFile(File), File);
  EntryClient Entry(Options);
  Json Current = fetchCurrentConfiguration(Entry);
  auto Changes = listChangesFrom(Current, NewState);
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
  DesiredState NewState = readDesiredState(Text, File);
  EntryClient Entry(Options);
  std::string Base = Options.count("base")
                         ? std::to_string(Options["base"].as<std::uint64_t>())
                         : fetchCurrentConfiguration(Entry)["version"].dump();
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

Json makeSubmission(const CommandOptions &Options) {
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
  HttpResponse Response = Entry.call(
      "POST", "/v1/jobs", makeSubmission(Options).dump(), SubmitTimeout);
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

Command makeEntryCommand(const char *Name, const char *Help,
                         std::vector<std::string> Arguments,
                         ExitStatus (*Run)(const CommandOptions &)) {
  Command NewCommand{Name, Help, std::move(Arguments),
                     po::options_description(), Run};
  addEntryOptions(NewCommand.m_Options);
  return NewCommand;
}

Command makeApply() {
  Command Apply = makeEntryCommand("apply", "apply a configuration file",
                                   {"file"}, runApply);
  Apply.m_Options.add_options()(
      "base", po::value<std::uint64_t>(),
      "version that the file is based on; the current version if not given")(
      "apply-id", po::value<std::string>(),
      "id of the apply; repeat an apply with its printed id to learn its "
      "result")("operator", po::value<std::string>()->default_value(userName()),
                "name of the operator in the audit trail");
  return Apply;
}

Command makeSubmit() {
  Command Submit = makeEntryCommand(
      "submit", "submit a job and wait for its result", {}, runSubmit);
  Submit.m_Options.add_options()(
      "service", po::value<std::string>()->required(), "name of the service")(
      "team", po::value<std::string>()->required(), "name of the team")(
      "kind", po::value<std::string>()->default_value("default"),
      "kind of the tasks")("tasks", po::value<unsigned>()->default_value(1),
                           "number of tasks")(
      "payload", po::value<std::string>()->default_value("{}"),
      "JSON payload of every task")(
      "deadline-ms", po::value<std::uint64_t>(),
      "milliseconds until the deadline of the job");
  return Submit;
}

} // namespace

void addRemoteCommands(std::vector<Command> &Commands) {
  Commands.push_back(makeApply());
  Commands.push_back(makeEntryCommand(
      "diff", "show what applying a file would change", {"file"}, runDiff));
  Commands.push_back(
      makeEntryCommand("status", "show the status of an entry", {}, runStatus));
  Command Audit = makeEntryCommand("audit", "show the accepted configurations",
                                   {}, runAudit);
  Audit.m_Options.add_options()(
      "limit", po::value<unsigned>()->default_value(20), "number of records");
  Commands.push_back(Audit);
  Commands.push_back(makeEntryCommand(
      "drain", "let an entry finish its jobs and stop", {}, runDrain));
  Commands.push_back(makeSubmit());
}

} // namespace cyclamenwalk
