#include "platform/platformstandin.h"

#include "core/error.h"
#include "platform/tablecodec.h"

#include <thread>

namespace cyclamenwalk {

namespace {

constexpr int HttpNotFound = 404;
constexpr int HttpConflict = 409;
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

} // namespace

PlatformStandin::PlatformStandin(HttpServer &Server) {
  auto Add = [&](const char *Verb, const char *Path, auto Serve) {
    Server.route(Verb, Path, withFaults([this, Serve](const HttpRequest &R) {
                   return (this->*Serve)(R);
                 }));
  };
  Add("POST", "/v1/transactions", &PlatformStandin::transact);
  Add("GET", "/v1/tables/:table/rows/:key", &PlatformStandin::read);
  Add("GET", "/v1/tables/:table/rows", &PlatformStandin::scan);
  Add("PUT", "/v1/objects/:name", &PlatformStandin::put);
  Add("GET", "/v1/objects/:name", &PlatformStandin::get);
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
    } catch (const Error &Caught) {
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
  Transaction Changes = decodeTransaction(Request.m_Body);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  TransactionResult Result = m_Store.transact(Changes);
  if (Result.m_Status == StoreStatus::Conflict)
    return respond(HttpConflict, encodeConflicts(Result.m_Conflicts));
  return respond(200);
}

HttpResponse PlatformStandin::read(const HttpRequest &Request) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ReadResult Result =
      m_Store.read({Request.path("table"), Request.path("key")});
  if (!Result.m_Row)
    return respond(HttpNotFound);
  return respond(200, encodeRow(*Result.m_Row));
}

HttpResponse PlatformStandin::scan(const HttpRequest &Request) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ScanResult Result =
      m_Store.scan(Request.path("table"), Request.query("prefix"));
  return respond(200, encodeRows(Result.m_Rows));
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
