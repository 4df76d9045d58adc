#include "platform/internal/remoteplatform.h"

#include "core/error.h"
#include "core/log.h"
#include "platform/tablecodec.h"

namespace cyclamenwalk {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpConflict = 409;

/// Decodes a body; an unreadable one counts as no answer.
template <typename Result, typename Decode>
Result decodeOr(Result Unusable, Decode Call) {
  try {
    return Call();
  } catch (const Error &Caught) {
    logEvent(
        LogLevel::Warning, "store.malformed",
        {{"code", static_cast<int>(Caught.code())}, {"detail", Caught.what()}});
    return Unusable;
  }
}

TransactionResult toTransactionResult(const HttpResponse &Response) {
  TransactionResult Unusable{StoreStatus::Unavailable, {}};
  if (Response.m_Status == HttpOk)
    return {};
  if (Response.m_Status != HttpConflict)
    return Unusable;
  return decodeOr(Unusable, [&] {
    return TransactionResult{StoreStatus::Conflict,
                             decodeConflicts(Response.m_Body)};
  });
}

ReadResult toReadResult(const HttpResponse &Response) {
  ReadResult Unusable{StoreStatus::Unavailable, std::nullopt};
  if (Response.m_Status == HttpNotFound)
    return {};
  if (Response.m_Status != HttpOk)
    return Unusable;
  return decodeOr(Unusable, [&] {
    return ReadResult{StoreStatus::Ok, decodeRow(Response.m_Body)};
  });
}

ScanResult toScanResult(const HttpResponse &Response) {
  ScanResult Unusable{StoreStatus::Unavailable, {}};
  if (Response.m_Status != HttpOk)
    return Unusable;
  return decodeOr(Unusable, [&] {
    return ScanResult{StoreStatus::Ok, decodeRows(Response.m_Body)};
  });
}

ObjectResult toObjectResult(HttpResponse Response) {
  if (Response.m_Status == HttpNotFound)
    return {};
  if (Response.m_Status != HttpOk)
    return {StoreStatus::Unavailable, std::nullopt};
  return {StoreStatus::Ok, std::move(Response.m_Body)};
}

} // namespace

RemotePlatform::RemotePlatform(const PlatformSettings &Settings,
                               IHttpClient &Client, IMetrics &Metrics)
    : m_Settings(Settings), m_Client(Client), m_Metrics(Metrics) {}

void RemotePlatform::call(std::string Method, const std::string &Path,
                          std::string Body, IHttpClient::Done Done) {
  HttpRequest Request;
  Request.m_Method = std::move(Method);
  Request.m_Url = "http://" + m_Settings.m_Address + Path;
  Request.m_Body = std::move(Body);
  m_Client.send(std::move(Request), m_Settings.m_Timeout,
                [this, Done = std::move(Done)](HttpResponse Response) {
                  if (Response.m_Status == 0)
                    m_Metrics.count(Metric::StoreErrors);
                  Done(std::move(Response));
                });
}

void RemotePlatform::callRead(const std::string &Path, IHttpClient::Done Done) {
  m_Metrics.count(Metric::StoreReads);
  call("GET", Path, {}, std::move(Done));
}

void RemotePlatform::callWrite(std::string Method, const std::string &Path,
                               std::string Body, IHttpClient::Done Done) {
  m_Metrics.count(Metric::StoreWrites);
  call(std::move(Method), Path, std::move(Body), std::move(Done));
}

void RemotePlatform::transact(Transaction Changes,
                              std::function<void(TransactionResult)> Done) {
  callWrite("POST", "/v1/transactions", encodeTransaction(Changes),
            [Done = std::move(Done)](const HttpResponse &Response) {
              Done(toTransactionResult(Response));
            });
}

void RemotePlatform::read(RowKey Key, std::function<void(ReadResult)> Done) {
  callRead("/v1/tables/" + Key.m_Table + "/rows/" + Key.m_Key,
           [Done = std::move(Done)](const HttpResponse &Response) {
             Done(toReadResult(Response));
           });
}

void RemotePlatform::scan(std::string Table, std::string Prefix,
                          std::function<void(ScanResult)> Done) {
  callRead("/v1/tables/" + Table + "/rows?prefix=" + Prefix,
           [Done = std::move(Done)](const HttpResponse &Response) {
             Done(toScanResult(Response));
           });
}

void RemotePlatform::put(std::string Name, std::string Bytes,
                         std::function<void(StoreStatus)> Done) {
  callWrite("PUT", "/v1/objects/" + Name, std::move(Bytes),
            [Done = std::move(Done)](const HttpResponse &Response) {
              Done(Response.m_Status == HttpOk ? StoreStatus::Ok
                                               : StoreStatus::Unavailable);
            });
}

void RemotePlatform::get(std::string Name,
                         std::function<void(ObjectResult)> Done) {
  callRead("/v1/objects/" + Name,
           [Done = std::move(Done)](HttpResponse Response) {
             Done(toObjectResult(std::move(Response)));
           });
}

} // namespace cyclamenwalk
