#include "cli/internal/entryclient.h"

#include "core/error.h"
#include "http/blockinghttp.h"

#include <cstdlib>
#include <iostream>

namespace cyclamenwalk {

namespace {

namespace po = boost::program_options;

const char *const DefaultEntry = "127.0.0.1:8080";
const char *const TokenVariable = "CYCLAMENWALK_TOKEN";
constexpr int HttpUnauthorized = 401;

ExitStatus toExitStatus(ResultCode Code) {
  if (Code == ResultCode::StaleConfiguration)
    return ExitStatus::Stale;
  if (outcomeOf(Code) == Outcome::OutcomeUnknown)
    return ExitStatus::OutcomeUnknown;
  constexpr int LastFileCode = 1099;
  bool IsFileError =
      static_cast<int>(Code) >= 1000 && static_cast<int>(Code) <= LastFileCode;
  return IsFileError ? ExitStatus::Invalid : ExitStatus::Failed;
}

} // namespace

EntryClient::EntryClient(const CommandOptions &Options)
    : m_Address(Options["entry"].as<std::string>()) {
  const char *Token = std::getenv(TokenVariable);
  if (Token)
    m_Token = Token;
}

HttpResponse EntryClient::call(const std::string &Method,
                               const std::string &Path, const std::string &Body,
                               Duration Timeout) const {
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Url = "http://" + m_Address + Path;
  Request.m_Body = Body;
  if (!m_Token.empty())
    Request.m_Headers["Authorization"] = "Bearer " + m_Token;
  HttpResponse Response = sendHttpRequest(Request, Timeout);
  if (Response.m_Status == 0)
    throw Error(ResultCode::EntryUnreachable,
                "no entry responded at " + m_Address);
  return Response;
}

void addEntryOptions(po::options_description &Options) {
  Options.add_options()(
      "entry", po::value<std::string>()->default_value(DefaultEntry),
      "HTTP address of an entry, IP:PORT; the operator token is read from the "
      "environment variable CYCLAMENWALK_TOKEN")("json", po::bool_switch(),
                                                 "print data as JSON");
}

ExitStatus reportProblem(const HttpResponse &Response, bool AsJson) {
  if (Response.m_Status == HttpUnauthorized) {
    std::cerr << "error: the entry requires a valid operator token in "
                 "CYCLAMENWALK_TOKEN\n";
    return ExitStatus::Failed;
  }
  auto Problem = nlohmann::json::parse(Response.m_Body, nullptr, false);
  if (!Problem.is_object() || !Problem.contains("code")) {
    std::cerr << "error: no result code in the response with status "
              << Response.m_Status << '\n';
    return ExitStatus::Failed;
  }
  if (AsJson)
    std::cout << Problem.dump(2) << '\n';
  else
    std::cerr << "error " << Problem["code"] << " ("
              << Problem.value("outcome", "")
              << "): " << Problem.value("detail", "") << '\n';
  return toExitStatus(toResultCode(Problem["code"].get<int>()));
}

} // namespace cyclamenwalk
