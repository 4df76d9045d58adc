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
/// Delay of each call while the service is slow.
constexpr Duration SlowDelay = milliseconds(500);
/// A synced write costs several milliseconds.
constexpr Duration WriteDelay = milliseconds(4);

HttpResponse respond(int Status, std::string Body = "{}") {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = std::move(Body);
  return Response;
}

using Json = nlohmann::json;

std::uint64_t toNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

RowKey keyOf(const Json &Row) {
  return {Row.at("table").get<std::string>(), Row.at("key").get<std::string>()};
}

Transaction decodeTransaction(const Json &Body) {
  Transaction Changes;
  for (const Json &Row : Body.at("expected-revision")) {
    auto Version = Row.at("ver").get<std::uint64_t>();
    Changes.m_Conditions.push_back(
        {keyOf(Row), Version == 0 ? std::nullopt : std::optional(Version)});
  }
  for (const Json &Row : Body.at("set-keys"))
    Changes.m_Writes.push_back(
        {keyOf(Row), fromBase64(Row.at("value").get<std::string>())});
  for (const Json &Row : Body.at("remove"))
    Changes.m_Writes.push_back({keyOf(Row), std::nullopt});
  return Changes;
}

Json describe(const RowKey &Key, const std::optional<Row> &Known) {
  Json Row{{"table", Key.m_Table}, {"part", ""}, {"key", Key.m_Key}};
  if (!Known) {
    Row["ver"] = 0;
    Row["deleted"] = true;
    return Row;
  }
  Row["value"] = toBase64(Known->m_Value);
  Row["ver"] = Known->m_Version;
  return Row;
}

} // namespace

PlatformStandin::PlatformStandin(HttpServer &Server) {
  auto Add = [&](const char *Verb, const char *Path, auto Serve) {
    Server.route(Verb, Path, withFaults([this, Serve](const HttpRequest &R) {
                   return (this->*Serve)(R);
                 }));
  };
  Add("POST", "/rows-tx", &PlatformStandin::transact);
  Add("GET", "/rows-get", &PlatformStandin::read);
  Add("GET", "/rows-feed", &PlatformStandin::feed);
  Add("PUT", "/blob-put/:name", &PlatformStandin::put);
  Add("GET", "/blob-get/:name", &PlatformStandin::get);
  Server.route("POST", "/fault/:mode",
               [this](const HttpRequest &R) { return setFault(R); });
  Server.route("GET", "/counts", [this](const HttpRequest &) {
    return respond(200, "{\"reads\":" + std::to_string(m_Reads) +
                            ",\"writes\":" + std::to_string(m_Writes) + "}");
  });
  Server.onNotFound([](const HttpRequest &) { return respond(HttpNotFound); });
}

HttpServer::Handler PlatformStandin::withFaults(HttpServer::Handler Serve) {
  return [this, Serve = std::move(Serve)](const HttpRequest &Request) {
    bool IsRead = Request.m_Method == "GET";
    ++(IsRead ? m_Reads : m_Writes);
    Fault Now = m_Fault;
    if (Now == Fault::Down)
      return respond(HttpUnavailable);
    if (Now == Fault::Slow)
      std::this_thread::sleep_for(SlowDelay);
    if (!IsRead)
      std::this_thread::sleep_for(WriteDelay);
    try {
      HttpResponse Response = Serve(Request);
      bool IsLost = Now == Fault::ReplyLost && !IsRead;
      return IsLost ? respond(HttpUnavailable) : Response;
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
      Rows.push_back(describe(Key, m_Store.read(Key).m_Row));
    return respond(HttpConditionFailed, Json{{"rows", Rows}}.dump());
  }
  ++m_Version;
  for (const RowWrite &Written : Changes.m_Writes)
    m_Changed[Written.m_Row] = m_Version;
  m_HasChanged.notify_all();
  return respond(200, Json{{"ver", m_Version}, {"now-ms", 0}}.dump());
}

HttpResponse PlatformStandin::read(const HttpRequest &Request) {
  std::string Table = Request.query("table");
  std::string From = Request.query("from");
  std::string To = Request.query("to");
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Json Rows = Json::array();
  for (const KeyedRow &Known : m_Store.scan(Table, "").m_Rows)
    if (Known.m_Key >= From && (To.empty() || Known.m_Key < To))
      Rows.push_back(describe({Table, Known.m_Key}, Known.m_Row));
  return respond(200, Json{{"rows", Rows},
                           {"has-more", false},
                           {"ver", m_Version},
                           {"now-ms", 0}}
                          .dump());
}

HttpResponse PlatformStandin::feed(const HttpRequest &Request) {
  std::string Table = Request.query("table");
  std::uint64_t After = toNumber(Request.query("after"));
  auto Wait = milliseconds(toNumber(Request.query("wait-ms")));
  auto Changed = [&] {
    return std::any_of(
        m_Changed.begin(), m_Changed.end(), [&](const auto &Known) {
          return Known.first.m_Table == Table && Known.second > After;
        });
  };
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_HasChanged.wait_for(Lock, Wait, Changed);
  Json Rows = Json::array();
  for (const auto &Known : m_Changed)
    if (Known.first.m_Table == Table && Known.second > After)
      Rows.push_back(describe(Known.first, m_Store.read(Known.first).m_Row));
  return respond(
      200, Json{{"rows", Rows}, {"ver", m_Version}, {"now-ms", 0}}.dump());
}

HttpResponse PlatformStandin::put(const HttpRequest &Request) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Store.put(Request.path("name"), Request.m_Body);
  return respond(200);
}

HttpResponse PlatformStandin::get(const HttpRequest &Request) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ObjectResult Result = m_Store.get(Request.path("name"));
  if (!Result.m_Bytes)
    return respond(HttpNotFound);
  return respond(200, *Result.m_Bytes);
}

} // namespace cyclamenwalk
