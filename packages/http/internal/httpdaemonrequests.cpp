#include "core/log.h"
#include "http/internal/httpdaemon.h"
#include "http/internal/rawhttp.h"

#include <algorithm>
#include <sys/socket.h>

namespace cyclamenwalk {

namespace {

/// Of a request beside its body: its headers and what its handler keeps.
constexpr std::size_t RequestOverheadBytes = 4 * 1024;
/// A body and what is decoded from it.
constexpr std::size_t DecodedFactor = 2;
constexpr std::size_t MinBodyCapacity = 1024;
/// Answers up to this size are always written: they hold no more than the
/// request did.
constexpr std::size_t SmallAnswerBytes = 4 * 1024;
constexpr const char *RetryAfterSeconds = "1";
constexpr int HttpInternalError = 500;
constexpr int HttpNotFound = 404;
constexpr int HttpUnavailable = 503;

/// An exception must not reach the library, which is written in C. It costs
/// the request that threw it.
HttpResponse catchExceptions(const HttpServer::Handler &Handle,
                             const HttpRequest &Request) {
  try {
    return Handle(Request);
  } catch (const std::exception &Caught) {
    logEvent(LogLevel::Error, "http.handler_failed",
             {{"method", Request.m_Method},
              {"path", Request.m_Url},
              {"detail", Caught.what()}});
    HttpResponse Response;
    Response.m_Status = HttpInternalError;
    return Response;
  }
}

void callAsync(const HttpServer::AsyncHandler &Handle, HttpRequest Request,
               const HttpServer::Respond &Respond) {
  try {
    Handle(std::move(Request), Respond);
  } catch (const std::exception &Caught) {
    logEvent(LogLevel::Error, "http.handler_failed",
             {{"detail", Caught.what()}});
    HttpResponse Response;
    Response.m_Status = HttpInternalError;
    Respond(std::move(Response));
  }
}

/// Answers a request whose handler discards it without a response.
class PendingResponse {
public:
  PendingResponse(std::shared_ptr<ResponseQueue> Queue, std::uint64_t Exchange)
      : m_Queue(std::move(Queue)), m_Exchange(Exchange) {}
  PendingResponse(const PendingResponse &) = delete;
  PendingResponse &operator=(const PendingResponse &) = delete;
  ~PendingResponse() {
    HttpResponse Response;
    Response.m_Status = HttpInternalError;
    respond(std::move(Response));
  }

  void respond(HttpResponse Response) {
    if (!m_IsAnswered.exchange(true))
      m_Queue->post(m_Exchange, std::move(Response));
  }

private:
  const std::shared_ptr<ResponseQueue> m_Queue;
  const std::uint64_t m_Exchange;
  std::atomic<bool> m_IsAnswered = false;
};

Metric metricOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::HeaderTooLarge:
    return Metric::HeadersTooLarge;
  case ResultCode::BodyTooLarge:
    return Metric::BodiesTooLarge;
  case ResultCode::RequestTooSlow:
    return Metric::RequestsTooSlow;
  case ResultCode::AnswerDropped:
    return Metric::AnswersDropped;
  default:
    return Metric::RequestsShed;
  }
}

} // namespace

void *HttpDaemon::onRequestLine(void *Daemon, const char *Uri,
                                MHD_Connection *Raw) {
  auto *Self = static_cast<HttpDaemon *>(Daemon);
  auto Created = std::make_unique<Exchange>();
  Created->m_Number = ++Self->m_LastNumber;
  Created->m_Raw = Raw;
  Created->m_Connection = static_cast<ClientConnection *>(
      MHD_get_connection_info(Raw, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
          ->socket_context);
  Created->m_Connection->m_Exchange = Created.get();
  Created->m_Request.m_Url = Uri;
  Created->m_Request.m_ConnectionId =
      std::to_string(Created->m_Connection->m_Number);
  return Created.release();
}

MHD_Result HttpDaemon::onRequestData(void *Daemon, MHD_Connection *,
                                     const char *Url, const char *Method,
                                     const char *, const char *Data,
                                     std::size_t *Size, void **Context) {
  auto *Self = static_cast<HttpDaemon *>(Daemon);
  auto &Current = *static_cast<Exchange *>(*Context);
  switch (Current.m_State) {
  case ExchangeState::New:
    return Self->beginRequest(Current, Url, Method);
  case ExchangeState::ReceivingBody:
    return *Size > 0 ? Self->receiveBody(Current, Data, *Size)
                     : Self->finishBody(Current);
  case ExchangeState::Answered:
    return Self->answer(Current, std::move(*Current.m_Response));
  case ExchangeState::Discarding:
    if (*Size == 0)
      return MHD_NO;
    *Size = 0;
    return MHD_YES;
  case ExchangeState::Aborted:
    return MHD_NO;
  case ExchangeState::Handling:
    break;
  }
  return MHD_YES;
}

MHD_Result HttpDaemon::beginRequest(Exchange &Current, const char *Url,
                                    const char *Method) {
  // Data that arrived before the connection was closed is still read.
  ConnectionNumber Number = Current.m_Connection->m_Number;
  if (m_Table.phaseOf(Number) == ConnectionPhase::Closing)
    return MHD_NO;
  bool HasBody = hasBody(Current.m_Raw);
  Current.m_State = ExchangeState::ReceivingBody;
  Current.m_Connection->m_HadRequest = true;
  Current.m_MaxBodyBytes = m_Limits.m_MaxBodyBytes;
  m_Table.setPhase(
      Number, HasBody ? ConnectionPhase::Receiving : ConnectionPhase::Answering,
      Clock::now());
  std::size_t HeaderBytes = headerBytes(Current.m_Raw);
  if (HeaderBytes > m_Limits.m_MaxHeaderBytes)
    return refuse(Current, ResultCode::HeaderTooLarge,
                  "the header has " + std::to_string(HeaderBytes) +
                      " bytes, the limit is " +
                      std::to_string(m_Limits.m_MaxHeaderBytes));
  readRequestHead(Current, Method);
  if (Current.m_AnnouncedBytes.value_or(0) > Current.m_MaxBodyBytes)
    return refuse(Current, ResultCode::BodyTooLarge,
                  "the body has " + std::to_string(*Current.m_AnnouncedBytes) +
                      " bytes, the limit is " +
                      std::to_string(Current.m_MaxBodyBytes));
  Current.m_Route = &m_Routes.find(Method, Url, Current.m_Request.m_Path);
  return MHD_YES;
}

/// Charges the buffer for \p Bytes of the body before it is allocated. It grows
/// with what has arrived, not with what was announced.
bool HttpDaemon::tryReserve(Exchange &Current, std::size_t Bytes) {
  std::string &Body = Current.m_Request.m_Body;
  if (Bytes <= Current.m_Memory.bytes())
    return true;
  std::size_t Largest =
      std::min(Current.m_AnnouncedBytes.value_or(Current.m_MaxBodyBytes),
               Current.m_MaxBodyBytes);
  std::size_t Capacity = std::max(
      Bytes, std::min(std::max(2 * Body.size(), MinBodyCapacity), Largest));
  if (!tryCharge(Current, bodyClass(Capacity), Capacity, true))
    return false;
  Body.reserve(Capacity);
  return true;
}

MHD_Result HttpDaemon::receiveBody(Exchange &Current, const char *Data,
                                   std::size_t &Size) {
  std::string &Body = Current.m_Request.m_Body;
  std::size_t Received = Size;
  Size = 0;
  if (Body.size() + Received > Current.m_MaxBodyBytes) {
    refuseWhileReceiving(Current, ResultCode::BodyTooLarge,
                         "the body exceeds " +
                             std::to_string(Current.m_MaxBodyBytes) + " bytes");
    return MHD_YES;
  }
  if (!tryReserve(Current, Body.size() + Received)) {
    refuseWhileReceiving(Current, ResultCode::ClientsShed,
                         "no memory for the body");
    return MHD_YES;
  }
  Body.append(Data, Received);
  m_Table.recordBytes(Current.m_Connection->m_Number, Received, Clock::now());
  return MHD_YES;
}

MHD_Result HttpDaemon::finishBody(Exchange &Current) {
  m_Table.setPhase(Current.m_Connection->m_Number, ConnectionPhase::Answering,
                   Clock::now());
  std::size_t BodyBytes = Current.m_Request.m_Body.size();
  if (!tryCharge(Current, requestClass(BodyBytes),
                 DecodedFactor * BodyBytes + RequestOverheadBytes, false))
    return refuse(Current, ResultCode::ClientsShed,
                  "no memory for the request");
  return callHandler(Current);
}

MHD_Result HttpDaemon::callHandler(Exchange &Current) {
  // A connection may not be suspended while the library is stopped.
  if (m_IsStopping)
    return MHD_NO;
  const RouteHandler &Route = *Current.m_Route;
  m_Exchanges[Current.m_Number] = &Current;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    ++m_Unanswered;
  }
  if (Route.m_IsQuick)
    return answer(Current, catchExceptions(Route.m_Handle, Current.m_Request));
  if (!Route.m_Handle && !Route.m_HandleAsync) {
    HttpResponse Response;
    Response.m_Status = HttpNotFound;
    return answer(Current, std::move(Response));
  }
  Current.m_State = ExchangeState::Handling;
  ++m_Running;
  MHD_suspend_connection(Current.m_Raw);
  auto Request = std::make_shared<HttpRequest>(std::move(Current.m_Request));
  HttpServer::Respond Respond = makeRespond(Current.m_Number);
  if (Route.m_HandleAsync)
    callAsync(Route.m_HandleAsync, std::move(*Request), Respond);
  else
    m_Pool.run([&Route, Request, Respond] {
      Respond(catchExceptions(Route.m_Handle, *Request));
    });
  return MHD_YES;
}

HttpServer::Respond HttpDaemon::makeRespond(std::uint64_t Exchange) const {
  auto Pending = std::make_shared<PendingResponse>(m_Responses, Exchange);
  return [Pending](HttpResponse Response) {
    Pending->respond(std::move(Response));
  };
}

MHD_Result HttpDaemon::answer(Exchange &Current, HttpResponse Response) {
  m_Table.setPhase(Current.m_Connection->m_Number, ConnectionPhase::Writing,
                   Clock::now());
  Current.m_Memory.reset();
  std::size_t Bytes = Response.m_Body.size();
  if (Bytes > SmallAnswerBytes &&
      !tryCharge(Current, ChargeClass::Answer, Bytes, false)) {
    recordRefusal(Current, ResultCode::AnswerDropped, "no memory");
    Response = encodeRefusal(nullptr, ResultCode::AnswerDropped,
                             std::to_string(Bytes) + " bytes don't fit");
  }
  if (m_IsClosing)
    Response.m_Headers["Connection"] = "close";
  return queueResponse(Current.m_Raw, std::move(Response),
                       std::move(Current.m_Memory));
}

HttpResponse HttpDaemon::encodeRefusal(const HttpRequest *Request,
                                       ResultCode Code,
                                       const std::string &Detail) const {
  HttpResponse Response;
  if (Code == ResultCode::BodyTooLarge && m_Refusals.m_HandleTooLarge)
    Response = catchExceptions(m_Refusals.m_HandleTooLarge,
                               Request ? *Request : HttpRequest());
  else if (m_Refusals.m_Encode)
    Response = m_Refusals.m_Encode(Code, Detail);
  else
    Response = makePlainRefusal(Code);
  if (Response.m_Status == HttpUnavailable)
    Response.m_Headers["Retry-After"] = RetryAfterSeconds;
  return Response;
}

void HttpDaemon::recordRefusal(const Exchange &Current, ResultCode Code,
                               const std::string &Detail) const {
  count(metricOf(Code));
  logEvent(LogLevel::Info, "http.request_refused",
           {{"listener", m_Settings.m_Listen},
            {"connection", Current.m_Connection->m_Number},
            {"code", static_cast<int>(Code)},
            {"path", Current.m_Request.m_Url},
            {"used_bytes", m_Budget->used()},
            {"detail", Detail}});
}

/// Refuses a request of which nothing, or all, has been received.
MHD_Result HttpDaemon::refuse(Exchange &Current, ResultCode Code,
                              const std::string &Detail) {
  recordRefusal(Current, Code, Detail);
  HttpResponse Response = encodeRefusal(&Current.m_Request, Code, Detail);
  Current.m_Request.m_Body = std::string();
  Current.m_Memory.reset();
  Response.m_Headers["Connection"] = "close";
  m_Table.setPhase(Current.m_Connection->m_Number, ConnectionPhase::Closing,
                   Clock::now());
  return queueResponse(Current.m_Raw, std::move(Response), Charge());
}

/// The library takes no response while a body arrives, so it is written to the
/// socket.
void HttpDaemon::refuseWhileReceiving(Exchange &Current, ResultCode Code,
                                      const std::string &Detail) {
  recordRefusal(Current, Code, Detail);
  sendDirectly(Current.m_Connection->m_Socket,
               encodeRefusal(&Current.m_Request, Code, Detail));
  shutdown(Current.m_Connection->m_Socket, SHUT_WR);
  Current.m_State = ExchangeState::Discarding;
  Current.m_Request.m_Body = std::string();
  Current.m_Memory.reset();
  m_Table.setPhase(Current.m_Connection->m_Number, ConnectionPhase::Closing,
                   Clock::now());
}

/// Called after the response has been written, or could not be, and when a
/// connection breaks before its request is complete.
void HttpDaemon::onRequestCompleted(void *Daemon, MHD_Connection *,
                                    void **Context,
                                    MHD_RequestTerminationCode) {
  auto *Self = static_cast<HttpDaemon *>(Daemon);
  std::unique_ptr<Exchange> Ended(
      static_cast<Exchange *>(std::exchange(*Context, nullptr)));
  if (!Ended)
    return;
  ClientConnection &Client = *Ended->m_Connection;
  Client.m_Exchange = nullptr;
  if (Self->m_Table.phaseOf(Client.m_Number) != ConnectionPhase::Closing)
    Self->m_Table.setPhase(Client.m_Number, ConnectionPhase::Waiting,
                           Clock::now());
  if (Self->m_Exchanges.erase(Ended->m_Number) == 0)
    return;
  if (Ended->m_State == ExchangeState::Handling ||
      Ended->m_State == ExchangeState::Aborted)
    --Self->m_Running;
  std::lock_guard<std::mutex> Lock(Self->m_Mutex);
  if (--Self->m_Unanswered == 0)
    Self->m_Idle.notify_all();
}

} // namespace cyclamenwalk
