#include "http/httpserver.h"

#include "core/error.h"
#include "http/internal/disconnectwatch.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <cstring>
#include <list>
#include <mutex>
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
    throw Error(ResultCode::BadAddress, "cannot listen on " + Listen);
  Parsed.m_Value.sin_family = AF_INET;
  Parsed.m_Value.sin_port = htons(static_cast<std::uint16_t>(Parsed.m_Port));
  return Parsed;
}

/// Stack of a connection's thread, in bytes.
constexpr std::size_t ConnectionStack = 256 * 1024;

/// The caller's address and port, which no two open connections share.
std::string connectionName(const sockaddr *Caller) {
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
  Request.m_Connection = connectionName(Raw.client_address);
  Request.m_Url = Raw.http_url;
  Request.m_Headers = toMap(Raw.map_header);
  // ulfius keeps placeholders and query parameters in one map.
  Request.m_Path = toMap(Raw.map_url);
  Request.m_Query = Request.m_Path;
  if (Raw.binary_body_length > 0)
    Request.m_Body.assign(static_cast<const char *>(Raw.binary_body),
                          Raw.binary_body_length);
  return Request;
}

void fill(struct _u_response &Raw, const HttpResponse &Response) {
  u_map_put(Raw.map_header, "Content-Type", Response.m_ContentType.c_str());
  for (const auto &Header : Response.m_Headers)
    u_map_put(Raw.map_header, Header.first.c_str(), Header.second.c_str());
  auto Status = static_cast<unsigned>(Response.m_Status);
  // ulfius ignores the status together with an empty body.
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
                  "cannot listen on " + m_Settings.m_Listen);
    // One byte more than the limit shows that a body exceeds it.
    m_Instance.max_post_body_size = m_Settings.m_BodyLimit + 1;
    m_Instance.max_post_param_size = m_Settings.m_BodyLimit + 1;
  }

  ~Impl() {
    stop(Duration::zero());
    ulfius_clean_instance(&m_Instance);
  }

  void route(const std::string &Method, const std::string &Path,
             Handler Serve) {
    m_Routes.push_back(Route{this, std::move(Serve)});
    ulfius_add_endpoint_by_val(&m_Instance, Method.c_str(), nullptr,
                               Path.c_str(), 0, &Impl::callback,
                               &m_Routes.back());
  }

  void onTooLarge(Handler Serve) { m_TooLarge = std::move(Serve); }

  void onNotFound(Handler Serve) {
    m_Routes.push_back(Route{this, std::move(Serve)});
    ulfius_set_default_endpoint(&m_Instance, &Impl::callback, &m_Routes.back());
  }

  void watch(const HttpRequest &Request, std::function<void()> Departed) {
    m_Departures.watch(Request.m_Connection, std::move(Departed));
  }

  void unwatch(const HttpRequest &Request) {
    m_Departures.unwatch(Request.m_Connection);
  }

  bool hasDisconnected(const HttpRequest &Request) {
    return m_Departures.hasDisconnected(Request.m_Connection);
  }

  void start() {
    auto IdleSeconds =
        std::chrono::duration_cast<seconds>(m_Settings.m_IdleLimit).count();
    // The first three are those that ulfius needs.
    MHD_OptionItem Options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<std::intptr_t>(&mhd_request_completed), nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK,
         reinterpret_cast<std::intptr_t>(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &m_Address.m_Value},
        {MHD_OPTION_NOTIFY_CONNECTION,
         reinterpret_cast<std::intptr_t>(&Impl::noteConnection), this},
        {MHD_OPTION_THREAD_STACK_SIZE, ConnectionStack, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<std::intptr_t>(IdleSeconds),
         nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    unsigned Flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD;
    if (ulfius_start_framework_with_mhd_options(&m_Instance, Flags, Options) !=
        U_OK)
      throw Error(ResultCode::ListenFailed,
                  "cannot listen on " + m_Settings.m_Listen);
    m_IsStarted = true;
  }

  std::size_t running() const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Running;
  }

  void closeConnections() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsClosing = true;
  }

  void stop(Duration Limit) {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Idle.wait_for(Lock, Limit, [this] { return m_Running == 0; });
    if (!m_IsStarted)
      return;
    m_IsStarted = false;
    Lock.unlock();
    ulfius_stop_framework(&m_Instance);
  }

private:
  struct Route {
    Impl *m_Server;
    Handler m_Serve;
  };

  static void noteConnection(void *Server, struct MHD_Connection *Connection,
                             void **,
                             enum MHD_ConnectionNotificationCode What) {
    auto *Caller =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    auto *Socket =
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (!Caller || !Socket)
      return;
    auto &Watch = static_cast<Impl *>(Server)->m_Departures;
    std::string Name = connectionName(Caller->client_addr);
    if (What == MHD_CONNECTION_NOTIFY_STARTED)
      Watch.opened(Name, Socket->connect_fd);
    else
      Watch.closed(Name);
  }

  static int callback(const struct _u_request *Raw, struct _u_response *Answer,
                      void *Data) {
    auto *Known = static_cast<Route *>(Data);
    Known->m_Server->serve(*Known, *Raw, *Answer);
    return U_CALLBACK_COMPLETE;
  }

  void serve(const Route &Known, const struct _u_request &Raw,
             struct _u_response &Answer) {
    bool IsClosing = enter();
    HttpRequest Request = toRequest(Raw);
    bool IsTooLarge = Request.m_Body.size() > m_Settings.m_BodyLimit;
    HttpResponse Response =
        IsTooLarge && m_TooLarge ? m_TooLarge(Request) : Known.m_Serve(Request);
    if (IsClosing)
      Response.m_Headers["Connection"] = "close";
    fill(Answer, Response);
    leave();
  }

  bool enter() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    ++m_Running;
    return m_IsClosing;
  }

  void leave() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (--m_Running == 0)
      m_Idle.notify_all();
  }

  const HttpServerSettings m_Settings;
  SocketAddress m_Address;
  struct _u_instance m_Instance {};
  std::list<Route> m_Routes;
  Handler m_TooLarge;
  bool m_IsStarted = false;
  DisconnectWatch m_Departures;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Idle;
  std::size_t m_Running = 0;
  bool m_IsClosing = false;
};

HttpServer::HttpServer(const HttpServerSettings &Settings)
    : m_Impl(std::make_unique<Impl>(Settings)) {}
HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer::~HttpServer() = default;

void HttpServer::route(const std::string &Method, const std::string &Path,
                       Handler Serve) {
  m_Impl->route(Method, Path, std::move(Serve));
}
void HttpServer::onTooLarge(Handler Serve) {
  m_Impl->onTooLarge(std::move(Serve));
}
void HttpServer::onNotFound(Handler Serve) {
  m_Impl->onNotFound(std::move(Serve));
}
void HttpServer::watch(const HttpRequest &Request,
                       std::function<void()> Departed) {
  m_Impl->watch(Request, std::move(Departed));
}
void HttpServer::unwatch(const HttpRequest &Request) {
  m_Impl->unwatch(Request);
}
bool HttpServer::hasDisconnected(const HttpRequest &Request) const {
  return m_Impl->hasDisconnected(Request);
}
void HttpServer::start() { m_Impl->start(); }
std::size_t HttpServer::running() const { return m_Impl->running(); }
void HttpServer::closeConnections() { m_Impl->closeConnections(); }
void HttpServer::stop(Duration Limit) { m_Impl->stop(Limit); }

} // namespace cyclamenwalk
