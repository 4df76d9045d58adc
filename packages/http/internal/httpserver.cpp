#include "http/httpserver.h"

#include "http/internal/httpdaemon.h"

#include <cstdlib>

namespace cyclamenwalk {

namespace {

ConnectionNumber connectionOf(const HttpRequest &Request) {
  return std::strtoull(Request.m_ConnectionId.c_str(), nullptr, 10);
}

} // namespace

HttpServerSettings makeListener(const std::string &Address,
                                const RequestLimits &Limits,
                                const ListenerShare &Share, IMetrics &Metrics) {
  HttpServerSettings Settings;
  Settings.m_Listen = Address;
  Settings.m_BodyLimit = Limits.m_MaxBodyBytes;
  Settings.m_HeaderLimit = Limits.m_MaxHeaderBytes;
  Settings.m_HeaderTimeout = Limits.m_HeaderTimeout;
  Settings.m_IdleTimeout = Limits.m_IdleTimeout;
  Settings.m_BodyBytesPerSecond = Limits.m_BodyBytesPerSecond;
  Settings.m_Share = Share;
  Settings.m_Metrics = &Metrics;
  return Settings;
}

class HttpServer::Impl {
public:
  explicit Impl(const HttpServerSettings &Settings) : m_Daemon(Settings) {}

  HttpDaemon m_Daemon;
};

HttpServer::HttpServer(const HttpServerSettings &Settings)
    : m_Impl(std::make_unique<Impl>(Settings)) {}
HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer::~HttpServer() = default;

void HttpServer::route(const std::string &Method, const std::string &Path,
                       Handler HandleRequest) {
  m_Impl->m_Daemon.routes().add(Method, Path,
                                {std::move(HandleRequest), nullptr, false});
}
void HttpServer::routeQuick(const std::string &Method, const std::string &Path,
                            Handler HandleRequest) {
  m_Impl->m_Daemon.routes().add(Method, Path,
                                {std::move(HandleRequest), nullptr, true});
}
void HttpServer::routeAsync(const std::string &Method, const std::string &Path,
                            AsyncHandler HandleRequest) {
  m_Impl->m_Daemon.routes().add(Method, Path,
                                {nullptr, std::move(HandleRequest), false});
}
void HttpServer::onNotFound(Handler HandleRequest) {
  m_Impl->m_Daemon.routes().setDefault(
      {std::move(HandleRequest), nullptr, false});
}
void HttpServer::onNotFoundAsync(AsyncHandler HandleRequest) {
  m_Impl->m_Daemon.routes().setDefault(
      {nullptr, std::move(HandleRequest), false});
}
void HttpServer::onBodyTooLarge(Handler HandleRequest) {
  m_Impl->m_Daemon.refusals().m_HandleTooLarge = std::move(HandleRequest);
}
void HttpServer::onRefused(RefusalHook EncodeRefusal) {
  m_Impl->m_Daemon.refusals().m_Encode = std::move(EncodeRefusal);
}
void HttpServer::setLimits(const RequestLimits &Limits) {
  m_Impl->m_Daemon.setLimits(Limits);
}
void HttpServer::watch(const HttpRequest &Request,
                       std::function<void()> HandleDisconnect) {
  watchUntilDelivered(Request,
                      [HandleDisconnect = std::move(HandleDisconnect)] {
                        HandleDisconnect();
                        return true;
                      });
}
void HttpServer::watchUntilDelivered(const HttpRequest &Request,
                                     std::function<bool()> HandleDisconnect) {
  m_Impl->m_Daemon.disconnectWatch().watch(connectionOf(Request),
                                           std::move(HandleDisconnect));
}
void HttpServer::unwatch(const HttpRequest &Request) {
  m_Impl->m_Daemon.disconnectWatch().unwatch(connectionOf(Request));
}
bool HttpServer::hasDisconnected(const HttpRequest &Request) const {
  return m_Impl->m_Daemon.disconnectWatch().hasDisconnected(
      connectionOf(Request));
}
void HttpServer::start() { m_Impl->m_Daemon.start(); }
std::size_t HttpServer::running() const { return m_Impl->m_Daemon.running(); }
HttpServerUsage HttpServer::usage() const { return m_Impl->m_Daemon.usage(); }
void HttpServer::closeConnectionsAfterResponse() {
  m_Impl->m_Daemon.closeConnectionsAfterResponse();
}
void HttpServer::stop(Duration Timeout) { m_Impl->m_Daemon.stop(Timeout); }

} // namespace cyclamenwalk
