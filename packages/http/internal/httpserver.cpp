#include "http/httpserver.h"

#include "core/error.h"
#include "core/log.h"
#include "http/internal/disconnectwatch.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <cstring>
#include <list>
#include <mutex>
#include <set>
#include <ulfius.h>

namespace cyclamenwalk {

namespace {

struct SocketAddress {
  sockaddr_in m_Value{};
  unsigned m_Port = 0;
};

SocketAddress parseAddress(const std::string &Listen) {
  SocketAddress Parsed;
  auto Colon = Listen.rfind(':');
  std::string Host = Listen.substr(0, Colon);
  bool IsValid =
      Colon != std::string::npos &&
      inet_pton(AF_INET, Host.c_str(), &Parsed.m_Value.sin_addr) == 1;
  if (IsValid)
    Parsed.m_Port = std::strtoul(Listen.c_str() + Colon + 1, nullptr, 10);
  if (!IsValid || Parsed.m_Port == 0 || Parsed.m_Port > UINT16_MAX)
    throw Error(ResultCode::BadAddress,
                "listen address \"" + Listen +
                    "\" is not IP:PORT with a port from 1 to 65535");
  Parsed.m_Value.sin_family = AF_INET;
  Parsed.m_Value.sin_port = htons(static_cast<std::uint16_t>(Parsed.m_Port));
  return Parsed;
}

constexpr int HttpInternalError = 500;
constexpr std::size_t ConnectionStackBytes = 256 * 1024;

/// The caller's address and port, which are unique among open connections.
std::string connectionId(const sockaddr *Caller) {
  if (!Caller || Caller->sa_family != AF_INET)
    return {};
  sockaddr_in Address{};
  std::memcpy(&Address, Caller, sizeof Address);
  return std::to_string(Address.sin_addr.s_addr) + ":" +
         std::to_string(ntohs(Address.sin_port));
}

std::map<std::string, std::string> toMap(const struct _u_map *Raw) {
  std::map<std::string, std::string> Values;
  for (int I = 0; I < Raw->nb_values; ++I)
    Values[Raw->keys[I]] = Raw->values[I];
  return Values;
}

HttpRequest toRequest(const struct _u_request &Raw) {
  HttpRequest Request;
  Request.m_Method = Raw.http_verb;
  Request.m_ConnectionId = connectionId(Raw.client_address);
  Request.m_Url = Raw.http_url;
  Request.m_Headers = toMap(Raw.map_header);
  // ulfius stores placeholders and query parameters in the same map.
  Request.m_Path = toMap(Raw.map_url);
  Request.m_Query = Request.m_Path;
  if (Raw.binary_body_length > 0)
    Request.m_Body.assign(static_cast<const char *>(Raw.binary_body),
                          Raw.binary_body_length);
  return Request;
}

void writeResponse(struct _u_response &Raw, const HttpResponse &Response) {
  u_map_put(Raw.map_header, "Content-Type", Response.m_ContentType.c_str());
  for (const auto &Header : Response.m_Headers)
    u_map_put(Raw.map_header, Header.first.c_str(), Header.second.c_str());
  auto Status = static_cast<unsigned>(Response.m_Status);
  // ulfius ignores the status if it is set with an empty body.
  if (Response.m_Body.empty())
    ulfius_set_empty_body_response(&Raw, Status);
  else
    ulfius_set_binary_body_response(&Raw, Status, Response.m_Body.data(),
                                    Response.m_Body.size());
}

} // namespace

class HttpServer::Impl {
public:
  explicit Impl(HttpServerSettings Settings)
      : m_Settings(std::move(Settings)),
        m_Address(parseAddress(m_Settings.m_Listen)) {
    if (ulfius_init_instance(&m_Instance, m_Address.m_Port, &m_Address.m_Value,
                             nullptr) != U_OK)
      throw Error(ResultCode::ListenFailed,
                  "cannot set up an HTTP server for " + m_Settings.m_Listen);
    // One byte above the limit, so that a body that exceeds it is detected.
    m_Instance.max_post_body_size = m_Settings.m_BodyLimit + 1;
    m_Instance.max_post_param_size = m_Settings.m_BodyLimit + 1;
  }

  ~Impl() {
    stop(Duration::zero());
    ulfius_clean_instance(&m_Instance);
  }

  void route(const std::string &Method, const std::string &Path,
             Handler HandleRequest) {
    m_Routes.push_back(Route{this, std::move(HandleRequest)});
    ulfius_add_endpoint_by_val(&m_Instance, Method.c_str(), nullptr,
                               Path.c_str(), 0, &Impl::onRequest,
                               &m_Routes.back());
  }

  void onBodyTooLarge(Handler HandleRequest) {
    m_HandleTooLarge = std::move(HandleRequest);
  }

  void onNotFound(Handler HandleRequest) {
    m_Routes.push_back(Route{this, std::move(HandleRequest)});
    ulfius_set_default_endpoint(&m_Instance, &Impl::onRequest,
                                &m_Routes.back());
  }

  void watch(const HttpRequest &Request,
             std::function<void()> HandleDisconnect) {
    m_DisconnectWatch.watch(Request.m_ConnectionId,
                            std::move(HandleDisconnect));
  }

  void unwatch(const HttpRequest &Request) {
    m_DisconnectWatch.unwatch(Request.m_ConnectionId);
  }

  bool hasDisconnected(const HttpRequest &Request) {
    return m_DisconnectWatch.hasDisconnected(Request.m_ConnectionId);
  }

  void start() {
    auto IdleSeconds =
        std::chrono::duration_cast<seconds>(m_Settings.m_IdleTimeout).count();
    // These options replace the defaults of ulfius, which needs the first
    // three.
    MHD_OptionItem Options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<std::intptr_t>(&Impl::onRequestCompleted), this},
        {MHD_OPTION_URI_LOG_CALLBACK,
         reinterpret_cast<std::intptr_t>(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &m_Address.m_Value},
        {MHD_OPTION_NOTIFY_CONNECTION,
         reinterpret_cast<std::intptr_t>(&Impl::onConnectionEvent), this},
        {MHD_OPTION_THREAD_STACK_SIZE, ConnectionStackBytes, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<std::intptr_t>(IdleSeconds),
         nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    // select(), the default, takes no descriptor of 1024 or more.
    unsigned Flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL |
                     MHD_USE_INTERNAL_POLLING_THREAD;
    if (ulfius_start_framework_with_mhd_options(&m_Instance, Flags, Options) !=
        U_OK)
      throw Error(ResultCode::ListenFailed,
                  "cannot listen on " + m_Settings.m_Listen);
    m_IsStarted = true;
  }

  std::size_t running() const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_RunningHandlers;
  }

  void closeConnectionsAfterResponse() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsClosing = true;
  }

  void stop(Duration Timeout) {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Idle.wait_for(Lock, Timeout,
                    [this] { return m_UnansweredConnections.empty(); });
    if (!m_IsStarted)
      return;
    m_IsStarted = false;
    Lock.unlock();
    ulfius_stop_framework(&m_Instance);
  }

private:
  struct Route {
    Impl *m_Server;
    Handler m_HandleRequest;
  };

  static void onConnectionEvent(void *Server, struct MHD_Connection *Connection,
                                void **,
                                enum MHD_ConnectionNotificationCode Event) {
    auto *Caller =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    auto *Socket =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (!Caller || !Socket)
      return;
    auto &Watch = static_cast<Impl *>(Server)->m_DisconnectWatch;
    std::string Id = connectionId(Caller->client_addr);
    if (Event == MHD_CONNECTION_NOTIFY_STARTED)
      Watch.addConnection(Id, Socket->connect_fd);
    else
      Watch.removeConnection(Id);
  }

  /// Called after the response has been written, or could not be, and when a
  /// connection breaks before its request is complete.
  static void onRequestCompleted(void *Server,
                                 struct MHD_Connection *Connection,
                                 void **RequestData,
                                 enum MHD_RequestTerminationCode Reason) {
    mhd_request_completed(nullptr, Connection, RequestData, Reason);
    auto *Caller =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (Caller)
      static_cast<Impl *>(Server)->recordAnswered(
          connectionId(Caller->client_addr));
  }

  static int onRequest(const struct _u_request *RawRequest,
                       struct _u_response *RawResponse, void *Data) {
    auto *Matched = static_cast<Route *>(Data);
    Matched->m_Server->serve(*Matched, *RawRequest, *RawResponse);
    return U_CALLBACK_COMPLETE;
  }

  void serve(const Route &Matched, const struct _u_request &RawRequest,
             struct _u_response &RawResponse) {
    HttpRequest Request = toRequest(RawRequest);
    bool IsClosing = beginRequest(Request.m_ConnectionId);
    bool IsTooLarge = Request.m_Body.size() > m_Settings.m_BodyLimit;
    HttpResponse Response =
        handle(IsTooLarge && m_HandleTooLarge ? m_HandleTooLarge
                                              : Matched.m_HandleRequest,
               Request);
    if (IsClosing)
      Response.m_Headers["Connection"] = "close";
    writeResponse(RawResponse, Response);
    endHandler();
  }

  /// An exception must not reach the library, which is written in C. It costs
  /// the request that threw it.
  static HttpResponse handle(const Handler &HandleRequest,
                             const HttpRequest &Request) {
    try {
      return HandleRequest(Request);
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

  /// Whether the connection is to be closed after the response.
  bool beginRequest(const std::string &ConnectionId) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    ++m_RunningHandlers;
    m_UnansweredConnections.insert(ConnectionId);
    return m_IsClosing;
  }

  void endHandler() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    --m_RunningHandlers;
  }

  void recordAnswered(const std::string &ConnectionId) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_UnansweredConnections.erase(ConnectionId);
    if (m_UnansweredConnections.empty())
      m_Idle.notify_all();
  }

  const HttpServerSettings m_Settings;
  SocketAddress m_Address;
  struct _u_instance m_Instance {};
  std::list<Route> m_Routes;
  Handler m_HandleTooLarge;
  bool m_IsStarted = false;
  DisconnectWatch m_DisconnectWatch;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Idle;
  std::size_t m_RunningHandlers = 0;
  /// Ids of the connections whose request is being handled or whose response
  /// is being written; a connection has one request at a time.
  std::set<std::string> m_UnansweredConnections;
  bool m_IsClosing = false;
};

HttpServer::HttpServer(const HttpServerSettings &Settings)
    : m_Impl(std::make_unique<Impl>(Settings)) {}
HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer::~HttpServer() = default;

void HttpServer::route(const std::string &Method, const std::string &Path,
                       Handler HandleRequest) {
  m_Impl->route(Method, Path, std::move(HandleRequest));
}
void HttpServer::onBodyTooLarge(Handler HandleRequest) {
  m_Impl->onBodyTooLarge(std::move(HandleRequest));
}
void HttpServer::onNotFound(Handler HandleRequest) {
  m_Impl->onNotFound(std::move(HandleRequest));
}
void HttpServer::watch(const HttpRequest &Request,
                       std::function<void()> HandleDisconnect) {
  m_Impl->watch(Request, std::move(HandleDisconnect));
}
void HttpServer::unwatch(const HttpRequest &Request) {
  m_Impl->unwatch(Request);
}
bool HttpServer::hasDisconnected(const HttpRequest &Request) const {
  return m_Impl->hasDisconnected(Request);
}
void HttpServer::start() { m_Impl->start(); }
std::size_t HttpServer::running() const { return m_Impl->running(); }
void HttpServer::closeConnectionsAfterResponse() {
  m_Impl->closeConnectionsAfterResponse();
}
void HttpServer::stop(Duration Timeout) { m_Impl->stop(Timeout); }

} // namespace cyclamenwalk
