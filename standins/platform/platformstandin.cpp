#include "platform/platformstandin.h"

#include "platform/base64.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

namespace cyclamenwalk {

namespace {

constexpr int HttpNotFound = 404;
constexpr int HttpConditionFailed = 412;
constexpr int HttpBadRequest = 400;
constexpr int HttpUnavailable = 503;
/// Delay of each call while Fault::Slow is active.
constexpr Duration SlowDelay = milliseconds(500);
/// Simulates a synced write, which takes several milliseconds.
constexpr Duration WriteDelay = milliseconds(4);

HttpResponse respond(int Status, std::string Body = "{}") {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = std::move(Body);
  return Response;
}

using Json = nlohmann::json;

std::uint64_t parseNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

RowKey decodeKey(const Json &Row) {
  return {Row.at("table").get<std::string>(), Row.at("key").get<std::string>()};
}

Transaction decodeTransaction(const Json &Body) {
  Transaction Changes;
  for (const Json &Row : Body.at("expected-revision")) {
    auto Version = Row.at("ver").get<std::uint64_t>();
    Changes.m_Conditions.push_back(
        {decodeKey(Row), Version == 0 ? std::nullopt : std::optional(Version)});
  }
  for (const Json &Row : Body.at("set-keys"))
    Changes.m_Writes.push_back(
        {decodeKey(Row), fromBase64(Row.at("value").get<std::string>())});
  for (const Json &Row : Body.at("remove"))
    Changes.m_Writes.push_back({decodeKey(Row), std::nullopt});
  return Changes;
}

Json encodeRow(const RowKey &Key, const std::optional<Row> &Stored) {
  Json Encoded{{"table", Key.m_Table}, {"part", ""}, {"key", Key.m_Key}};
  if (!Stored) {
    Encoded["ver"] = 0;
    Encoded["deleted"] = true;
    return Encoded;
  }
  Encoded["value"] = toBase64(Stored->m_Value);
  Encoded["ver"] = Stored->m_Version;
  return Encoded;
}

} // namespace

PlatformStandin::PlatformStandin(HttpServer &Server) {
  auto AddRoute = [&](const char *Method, const char *Path, auto Handle) {
    Server.route(Method, Path,
                 injectFaults([this, Handle](const HttpRequest &Request) {
                   return (this->*Handle)(Request);
                 }));
  };
  AddRoute("POST", "/rows-tx", &PlatformStandin::transact);
  AddRoute("GET", "/rows-get", &PlatformStandin::readRows);
  AddRoute("GET", "/rows-feed", &PlatformStandin::waitForChanges);
  AddRoute("PUT", "/blob-put/:name", &PlatformStandin::putObject);
  AddRoute("GET", "/blob-get/:name", &PlatformStandin::getObject);
  Server.route("POST", "/fault/:mode", [this](const HttpRequest &Request) {
    return setFault(Request);
  });
  Server.route("GET", "/counts", [this](const HttpRequest &) {
    return respond(200, "{\"reads\":" + std::to_string(m_ReadCount) +
                            ",\"writes\":" + std::to_string(m_WriteCount) +
                            "}");
  });
  Server.onNotFound([](const HttpRequest &) { return respond(HttpNotFound); });
}

HttpServer::Handler PlatformStandin::injectFaults(HttpServer::Handler Handle) {
  return [this, Handle = std::move(Handle)](const HttpRequest &Request) {
    bool IsRead = Request.m_Method == "GET";
    ++(IsRead ? m_ReadCount : m_WriteCount);
    Fault ActiveFault = m_Fault;
    if (ActiveFault == Fault::Down)
      return respond(HttpUnavailable);
    if (ActiveFault == Fault::Slow)
      std::this_thread::sleep_for(SlowDelay);
    if (!IsRead)
      std::this_thread::sleep_for(WriteDelay);
    try {
      HttpResponse Response = Handle(Request);
      bool IsReplyLost = ActiveFault == Fault::ReplyLost && !IsRead;
      return IsReplyLost ? respond(HttpUnavailable) : Response;
    } catch (const std::exception &) {
      return respond(HttpBadRequest);
    }
  };
}

HttpResponse PlatformStandin::setFault(const HttpRequest &Request) {
  std::string Mode = Request.path("mode");
  if (Mode == "none")
    m_Fault = Fault::None;
  else if (Mode == "down")
    m_Fault = Fault::Down;
  else if (Mode == "slow")
    m_Fault = Fault::Slow;
  else if (Mode == "reply_lost")
    m_Fault = Fault::ReplyLost;
  else
    return respond(HttpBadRequest);
  return respond(200);
}

HttpResponse PlatformStandin::transact(const HttpRequest &Request) {
  Transaction Changes = decodeTransaction(Json::parse(Request.m_Body));
  std::lock_guard<std::mutex> Lock(m_Mutex);
  TransactionResult Result = m_Store.transact(Changes);
  if (Result.m_Status == StoreStatus::Conflict) {
    Json Rows = Json::array();
    for (const RowKey &Key : Result.m_Conflicts)
      Rows.push_back(encodeRow(Key, m_Store.read(Key).m_Row));
    return respond(HttpConditionFailed, Json{{"rows", Rows}}.dump());
  }
  ++m_StoreVersion;
  for (const RowWrite &Write : Changes.m_Writes)
    m_RowVersions[Write.m_Row] = m_StoreVersion;
  m_RowsChanged.notify_all();
  return respond(200, Json{{"ver", m_StoreVersion}, {"now-ms", 0}}.dump());
}

HttpResponse PlatformStandin::readRows(const HttpRequest &Request) {
  std::string Table = Request.query("table");
  std::string From = Request.query("from");
  std::string To = Request.query("to");
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Json Rows = Json::array();
  for (const KeyedRow &Scanned : m_Store.scan(Table, "").m_Rows)
    if (Scanned.m_Key >= From && (To.empty() || Scanned.m_Key < To))
      Rows.push_back(encodeRow({Table, Scanned.m_Key}, Scanned.m_Row));
  return respond(200, Json{{"rows", Rows},
                           {"has-more", false},
                           {"ver", m_StoreVersion},
                           {"now-ms", 0}}
                          .dump());
}

HttpResponse PlatformStandin::waitForChanges(const HttpRequest &Request) {
  std::string Table = Request.query("table");
  std::uint64_t After = parseNumber(Request.query("after"));
  auto Timeout = milliseconds(parseNumber(Request.query("wait-ms")));
  auto HasChanges = [&] {
    return std::any_of(m_RowVersions.begin(), m_RowVersions.end(),
                       [&](const auto &RowVersion) {
                         return RowVersion.first.m_Table == Table &&
                                RowVersion.second > After;
                       });
  };
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_RowsChanged.wait_for(Lock, Timeout, HasChanges);
  Json Rows = Json::array();
  for (const auto &RowVersion : m_RowVersions)
    if (RowVersion.first.m_Table == Table && RowVersion.second > After)
      Rows.push_back(
          encodeRow(RowVersion.first, m_Store.read(RowVersion.first).m_Row));
  return respond(
      200, Json{{"rows", Rows}, {"ver", m_StoreVersion}, {"now-ms", 0}}.dump());
}

HttpResponse PlatformStandin::putObject(const HttpRequest &Request) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Store.put(Request.path("name"), Request.m_Body);
  return respond(200);
}

HttpResponse PlatformStandin::getObject(const HttpRequest &Request) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ObjectResult Result = m_Store.get(Request.path("name"));
  if (!Result.m_Bytes)
    return respond(HttpNotFound);
  return respond(200, *Result.m_Bytes);
}

} // namespace cyclamenwalk
