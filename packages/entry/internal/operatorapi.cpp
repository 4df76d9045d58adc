#include "entry/internal/operatorapi.h"

#include "core/controlcall.h"
#include "core/error.h"
#include "entry/internal/callerapi.h"
#include "entry/internal/jsoncodec.h"
#include "rowcodec/rowcodecs.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;
using ReplyHook = std::function<void(HttpResponse)>;

constexpr Duration ControlTimeout = seconds(5);
/// An apply may spend several seconds on reading its result back from the
/// store.
constexpr Duration ApplyTimeout = seconds(60);
constexpr std::size_t DefaultAuditRows = 20;
constexpr int HttpUnauthorized = 401;
constexpr int HttpUnavailable = 503;
const char *const BearerPrefix = "Bearer ";

HttpResponse jsonResponse(const Json &Body) {
  HttpResponse Response;
  Response.m_Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Response;
}

HttpResponse textResponse(int Status, const std::string &Text) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_ContentType = "text/plain";
  Response.m_Body = Text + "\n";
  return Response;
}

/// Takes the same time wherever the texts differ, so that the duration does
/// not reveal a matching prefix.
bool isEqualInConstantTime(const std::string &Left, const std::string &Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned char Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I] ^ Right[I]);
  return Difference == 0;
}

std::optional<std::uint64_t> parseNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Number;
}

Json toJson(const ConfigurationRecord &Record) {
  return {{"version", Record.m_Version},
          {"previous_version", Record.m_PreviousVersion},
          {"digest", Record.m_Digest},
          {"apply_id", Record.m_ApplyId},
          {"operator", Record.m_Operator},
          {"accepted_at", formatRfc3339(Record.m_AcceptedAt)},
          {"changes", Record.m_Changes}};
}

HttpResponse toResponse(const ApplyResult &Result) {
  if (Result.m_Code == ResultCode::Ok)
    return jsonResponse(toJson(Result.m_Record));
  HttpResponse Problem = encodeProblem(Result.m_Code, Result.m_Detail);
  if (Result.m_Record.m_Version != 0) {
    Json Body = Json::parse(Problem.m_Body);
    Body["winner"] = toJson(Result.m_Record);
    Problem.m_Body = Body.dump();
  }
  return Problem;
}

Json toJson(const EntryStatus &Status) {
  Json Workers = Json::array();
  for (const WorkerStatus &Worker : Status.m_Workers)
    Workers.push_back({{"agent", Worker.m_Agent},
                       {"incarnation", toString(Worker.m_Incarnation)},
                       {"failure_domain", Worker.m_FailureDomain},
                       {"service", Worker.m_Service},
                       {"slots", Worker.m_Slots},
                       {"leaving", Worker.m_IsLeaving}});
  Json Services = Json::array();
  for (const ServiceStatus &Service : Status.m_Services)
    Services.push_back({{"service", Service.m_Service},
                        {"waiting", Service.m_Waiting},
                        {"in_flight", Service.m_InFlight},
                        {"credits", Service.m_Credits}});
  return {{"workers", Workers}, {"services", Services}};
}

HttpResponse toResponse(const ScanResult &Result, std::size_t Limit) {
  if (Result.m_Status != StoreStatus::Ok)
    return encodeProblem(ResultCode::StoreUnavailable,
                         "the audit records cannot be read from the store");
  Json Rows = Json::array();
  std::size_t Skipped =
      Result.m_Rows.size() > Limit ? Result.m_Rows.size() - Limit : 0;
  for (std::size_t I = Skipped; I < Result.m_Rows.size(); ++I)
    if (auto Record =
            configurationRecordCodec().m_Decode(Result.m_Rows[I].m_Row.m_Value))
      Rows.push_back(toJson(*Record));
  return jsonResponse({{"records", Rows}});
}

HttpResponse callControlThread(IControlQueue &Control, Duration Timeout,
                               std::function<void(ReplyHook)> Call) {
  auto Response = callControl<HttpResponse>(Control, Timeout, std::move(Call));
  return Response.value_or(
      encodeProblem(ResultCode::StoreUnavailable,
                    "the control thread did not respond in time"));
}

} // namespace

void OperatorApi::addRoutes(HttpServer &Server) {
  auto Add = [&](const char *HttpMethod, const char *Path, Method Handler) {
    Server.route(HttpMethod, Path,
                 catchErrors([this, Handler](const HttpRequest &Request) {
                   return (this->*Handler)(Request);
                 }));
  };
  auto AddAuthorized = [&](const char *HttpMethod, const char *Path,
                           Method Handler) {
    Server.route(HttpMethod, Path, catchErrors(requireToken(Handler)));
  };
  Add("GET", "/healthz", &OperatorApi::healthz);
  Add("GET", "/readyz", &OperatorApi::readyz);
  Add("GET", "/metrics", &OperatorApi::metrics);
  AddAuthorized("POST", "/v1/configuration", &OperatorApi::apply);
  AddAuthorized("GET", "/v1/configuration", &OperatorApi::configuration);
  AddAuthorized("GET", "/v1/audit", &OperatorApi::audit);
  AddAuthorized("GET", "/v1/status", &OperatorApi::status);
  AddAuthorized("POST", "/v1/drain", &OperatorApi::drain);
  AddAuthorized("POST", "/v1/peers", &OperatorApi::peers);
}

HttpServer::Handler OperatorApi::requireToken(Method Handler) {
  return [this, Handler](const HttpRequest &Request) {
    const std::string &Token = m_Context.m_OperatorToken;
    bool IsAllowed =
        Token.empty() || isEqualInConstantTime(Request.header("Authorization"),
                                               BearerPrefix + Token);
    if (!IsAllowed)
      return textResponse(HttpUnauthorized,
                          "a valid operator token is required");
    return (this->*Handler)(Request);
  };
}

HttpResponse OperatorApi::healthz(const HttpRequest &) {
  return textResponse(200, "ok");
}

HttpResponse OperatorApi::readyz(const HttpRequest &) {
  bool IsServing = m_Context.m_Process.isServing();
  return textResponse(IsServing ? 200 : HttpUnavailable,
                      m_Context.m_Process.stateName());
}

HttpResponse OperatorApi::metrics(const HttpRequest &) {
  HttpResponse Response = textResponse(200, m_Context.m_Metrics.render());
  Response.m_ContentType = "text/plain; version=0.0.4";
  return Response;
}

HttpResponse OperatorApi::apply(const HttpRequest &Request) {
  ApplyRequest Change;
  Change.m_Text = Request.m_Body;
  Change.m_ApplyId = Request.query("apply_id");
  Change.m_Operator = Request.query("operator");
  Change.m_ReceivedAt = std::chrono::system_clock::now();
  if (Change.m_ApplyId.empty() || Change.m_Operator.empty())
    throw Error(ResultCode::MalformedBody,
                "the query parameters apply_id and operator are required");
  Change.m_BaseVersion = parseNumber(Request.query("base"));
  return callControlThread(m_Context.m_Control, ApplyTimeout,
                           [this, Change](const ReplyHook &Reply) {
                             m_Context.m_Apply.apply(
                                 Change, [Reply](const ApplyResult &Result) {
                                   Reply(toResponse(Result));
                                 });
                           });
}

HttpResponse OperatorApi::configuration(const HttpRequest &) {
  return callControlThread(
      m_Context.m_Control, ControlTimeout, [this](const ReplyHook &Reply) {
        Reply(jsonResponse({{"version", m_Context.m_Configuration.version()},
                            {"text", m_Context.m_Configuration.text()}}));
      });
}

HttpResponse OperatorApi::audit(const HttpRequest &Request) {
  std::size_t Limit =
      parseNumber(Request.query("limit")).value_or(DefaultAuditRows);
  return callControlThread(m_Context.m_Control, ControlTimeout,
                           [this, Limit](const ReplyHook &Reply) {
                             m_Context.m_Tables.scan(
                                 "audit", "",
                                 [Reply, Limit](const ScanResult &Rows) {
                                   Reply(toResponse(Rows, Limit));
                                 });
                           });
}

HttpResponse OperatorApi::status(const HttpRequest &) {
  return callControlThread(
      m_Context.m_Control, ControlTimeout, [this](const ReplyHook &Reply) {
        Json Body = toJson(m_Context.m_Jobs.status());
        Body["name"] = m_Context.m_Self.m_Name;
        Body["incarnation"] = toString(m_Context.m_Self.m_Incarnation);
        Body["state"] = m_Context.m_Process.stateName();
        Body["configuration_version"] = m_Context.m_Configuration.version();
        Body["store_answers"] = m_Context.m_Registry.isStoreAvailable();
        Body["jobs_running"] = m_Context.m_Jobs.running();
        Json Entries = Json::array();
        for (const EntryAddress &Member : m_Context.m_Registry.members())
          Entries.push_back(
              {{"name", Member.m_Name}, {"http", Member.m_HttpAddress}});
        Body["entries"] = Entries;
        Reply(jsonResponse(Body));
      });
}

HttpResponse OperatorApi::drain(const HttpRequest &) {
  return callControlThread(
      m_Context.m_Control, ControlTimeout, [this](const ReplyHook &Reply) {
        // A second drain would stop the process at once.
        if (m_Context.m_Process.isServing())
          m_Context.m_Process.drain();
        Reply(jsonResponse({{"state", m_Context.m_Process.stateName()}}));
      });
}

/// Records the entry that sends the request and returns the members and the
/// configuration, which entries exchange in this way while the store is down.
HttpResponse OperatorApi::peers(const HttpRequest &Request) {
  auto Announced = decodeEntries(Request.m_Body);
  return callControlThread(
      m_Context.m_Control, ControlTimeout,
      [this, Announced](const ReplyHook &Reply) {
        for (const EntryAddress &Entry : Announced)
          m_Context.m_Registry.recordAnnouncement(Entry);
        Json Body = Json::parse(encodeEntries(m_Context.m_Registry.members()));
        Body["version"] = m_Context.m_Configuration.version();
        Body["text"] = m_Context.m_Configuration.text();
        Reply(jsonResponse(Body));
      });
}

} // namespace cyclamenwalk
