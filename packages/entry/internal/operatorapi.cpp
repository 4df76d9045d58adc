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
using Give = std::function<void(HttpResponse)>;

constexpr Duration ControlLimit = seconds(5);
/// An apply may have to read back for some seconds.
constexpr Duration ApplyLimit = seconds(60);
constexpr std::size_t DefaultAuditRows = 20;
constexpr int HttpUnauthorized = 401;
constexpr int HttpUnavailable = 503;
const char *const BearerPrefix = "Bearer ";

HttpResponse respond(const Json &Body) {
  HttpResponse Response;
  Response.m_Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Response;
}

HttpResponse plain(int Status, const std::string &Text) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_ContentType = "text/plain";
  Response.m_Body = Text + "\n";
  return Response;
}

/// Takes the same time wherever the texts differ.
bool equalInConstantTime(const std::string &Left, const std::string &Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned char Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I] ^ Right[I]);
  return Difference == 0;
}

std::optional<std::uint64_t> numberOf(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Number;
}

Json toJson(const ConfigurationRecord &Value) {
  return {{"version", Value.m_Version},
          {"previous_version", Value.m_PreviousVersion},
          {"digest", Value.m_Digest},
          {"apply_id", Value.m_ApplyId},
          {"operator", Value.m_Operator},
          {"accepted_at", toText(Value.m_AcceptedAt)},
          {"changes", Value.m_Changes}};
}

HttpResponse toResponse(const ApplyResult &Result) {
  if (Result.m_Code == ResultCode::Ok)
    return respond(toJson(Result.m_Record));
  HttpResponse Problem = encodeProblem(Result.m_Code, Result.m_Detail);
  if (Result.m_Record.m_Version != 0) {
    Json Body = Json::parse(Problem.m_Body);
    Body["winner"] = toJson(Result.m_Record);
    Problem.m_Body = Body.dump();
  }
  return Problem;
}

Json toJson(const SiteStatus &Status) {
  Json Workers = Json::array();
  for (const WorkerStatus &Known : Status.m_Workers)
    Workers.push_back({{"agent", Known.m_Agent},
                       {"incarnation", toString(Known.m_Incarnation)},
                       {"failure_domain", Known.m_FailureDomain},
                       {"service", Known.m_Service},
                       {"slots", Known.m_Slots},
                       {"leaving", Known.m_IsLeaving}});
  Json Services = Json::array();
  for (const ServiceStatus &Known : Status.m_Services)
    Services.push_back({{"service", Known.m_Service},
                        {"waiting", Known.m_Waiting},
                        {"in_flight", Known.m_InFlight},
                        {"credits", Known.m_Credits}});
  return {{"workers", Workers}, {"services", Services}};
}

HttpResponse toResponse(const ScanResult &Result, std::size_t Limit) {
  if (Result.m_Status != StoreStatus::Ok)
    return encodeProblem(ResultCode::StoreUnavailable,
                         "the audit trail cannot be read");
  Json Rows = Json::array();
  std::size_t Skipped =
      Result.m_Rows.size() > Limit ? Result.m_Rows.size() - Limit : 0;
  for (std::size_t I = Skipped; I < Result.m_Rows.size(); ++I)
    if (auto Record = recordCodec().m_Decode(Result.m_Rows[I].m_Row.m_Value))
      Rows.push_back(toJson(*Record));
  return respond({{"records", Rows}});
}

HttpResponse ask(IControlQueue &Control, Duration Limit,
                 std::function<void(Give)> Question) {
  auto Response =
      callControl<HttpResponse>(Control, Limit, std::move(Question));
  return Response.value_or(
      encodeProblem(ResultCode::StoreUnavailable, "no answer came in time"));
}

} // namespace

void OperatorApi::addRoutes(HttpServer &Server) {
  auto Add = [&](const char *Verb, const char *Path, Method Serve) {
    Server.route(Verb, Path, guarded([this, Serve](const HttpRequest &R) {
                   return (this->*Serve)(R);
                 }));
  };
  auto AddAuthorized = [&](const char *Verb, const char *Path, Method Serve) {
    Server.route(Verb, Path, guarded(authorized(Serve)));
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

HttpServer::Handler OperatorApi::authorized(Method Serve) {
  return [this, Serve](const HttpRequest &Request) {
    const std::string &Token = m_Entry.m_OperatorToken;
    bool IsAllowed =
        Token.empty() || equalInConstantTime(Request.header("Authorization"),
                                             BearerPrefix + Token);
    if (!IsAllowed)
      return plain(HttpUnauthorized, "an operator's token is needed");
    return (this->*Serve)(Request);
  };
}

HttpResponse OperatorApi::healthz(const HttpRequest &) {
  return plain(200, "ok");
}

HttpResponse OperatorApi::readyz(const HttpRequest &) {
  bool IsServing = m_Entry.m_Process.isServing();
  return plain(IsServing ? 200 : HttpUnavailable,
               m_Entry.m_Process.stateName());
}

HttpResponse OperatorApi::metrics(const HttpRequest &) {
  HttpResponse Response = plain(200, m_Entry.m_Metrics.render());
  Response.m_ContentType = "text/plain; version=0.0.4";
  return Response;
}

HttpResponse OperatorApi::apply(const HttpRequest &Request) {
  ApplyRequest Change;
  Change.m_Text = Request.m_Body;
  Change.m_ApplyId = Request.query("apply_id");
  Change.m_Operator = Request.query("operator");
  Change.m_At = std::chrono::system_clock::now();
  if (Change.m_ApplyId.empty() || Change.m_Operator.empty())
    throw Error(ResultCode::MalformedBody,
                "the parameters apply_id and operator are needed");
  Change.m_BaseVersion = numberOf(Request.query("base"));
  return ask(m_Entry.m_Control, ApplyLimit, [this, Change](const Give &Reply) {
    m_Entry.m_Apply.apply(Change, [Reply](const ApplyResult &Result) {
      Reply(toResponse(Result));
    });
  });
}

HttpResponse OperatorApi::configuration(const HttpRequest &) {
  return ask(m_Entry.m_Control, ControlLimit, [this](const Give &Reply) {
    Reply(respond({{"version", m_Entry.m_Configuration.version()},
                   {"text", m_Entry.m_Configuration.text()}}));
  });
}

HttpResponse OperatorApi::audit(const HttpRequest &Request) {
  std::size_t Limit =
      numberOf(Request.query("limit")).value_or(DefaultAuditRows);
  return ask(m_Entry.m_Control, ControlLimit, [this, Limit](const Give &Reply) {
    m_Entry.m_Tables.scan("audit", "", [Reply, Limit](const ScanResult &Rows) {
      Reply(toResponse(Rows, Limit));
    });
  });
}

HttpResponse OperatorApi::status(const HttpRequest &) {
  return ask(m_Entry.m_Control, ControlLimit, [this](const Give &Reply) {
    Json Body = toJson(m_Entry.m_Jobs.status());
    Body["name"] = m_Entry.m_Own.m_Name;
    Body["incarnation"] = toString(m_Entry.m_Own.m_Incarnation);
    Body["state"] = m_Entry.m_Process.stateName();
    Body["configuration_version"] = m_Entry.m_Configuration.version();
    Body["store_answers"] = m_Entry.m_Registry.isStoreAvailable();
    Body["jobs_running"] = m_Entry.m_Jobs.running();
    Json Entries = Json::array();
    for (const EntryAddress &Known : m_Entry.m_Registry.members())
      Entries.push_back(
          {{"name", Known.m_Name}, {"http", Known.m_HttpAddress}});
    Body["entries"] = Entries;
    Reply(respond(Body));
  });
}

HttpResponse OperatorApi::drain(const HttpRequest &) {
  return ask(m_Entry.m_Control, ControlLimit, [this](const Give &Reply) {
    // A second call through HTTP must not cut the drain short.
    if (m_Entry.m_Process.isServing())
      m_Entry.m_Process.drain();
    Reply(respond({{"state", m_Entry.m_Process.stateName()}}));
  });
}

/// Another entry says where it is and learns what this one knows, for when
/// the store is down.
HttpResponse OperatorApi::peers(const HttpRequest &Request) {
  auto Members = decodeEntries(Request.m_Body);
  return ask(
      m_Entry.m_Control, ControlLimit, [this, Members](const Give &Reply) {
        for (const EntryAddress &Speaker : Members)
          m_Entry.m_Registry.hear(Speaker);
        Json Body = Json::parse(encodeEntries(m_Entry.m_Registry.members()));
        Body["version"] = m_Entry.m_Configuration.version();
        Body["text"] = m_Entry.m_Configuration.text();
        Reply(respond(Body));
      });
}

} // namespace cyclamenwalk
