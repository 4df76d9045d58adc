#ifndef CYCLAMENWALK_HTTP_HTTPSERVER_H
#define CYCLAMENWALK_HTTP_HTTPSERVER_H

#include "core/types/time.h"
#include "http/types/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace cyclamenwalk {

struct HttpServerSettings {
  /// IPv4 address and port to listen on, as IP:PORT.
  std::string m_Listen;
  /// Largest accepted request body, in bytes.
  std::size_t m_BodyLimit = 4 * 1024 * 1024;
  /// Time after which an idle connection is closed; zero for never.
  Duration m_IdleTimeout = Duration::zero();
};

/// An HTTP server based on ulfius. Each connection has its own traffic thread,
/// on which its handlers run and may block.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  explicit HttpServer(const HttpServerSettings &Settings);
  HttpServer(HttpServer &&) noexcept;
  ~HttpServer();

  /// Handles \p Method on \p Path, whose placeholders are written as :name.
  void route(const std::string &Method, const std::string &Path,
             Handler HandleRequest);

  /// Set the handlers for bodies above the limit and for paths without a route.
  void onBodyTooLarge(Handler HandleRequest);
  void onNotFound(Handler HandleRequest);

  /// Throws Error with ListenFailed if the address is in use.
  void start();

  /// Calls \p HandleDisconnect on another thread, at most once, if the caller
  /// of \p Request disconnects before unwatch().
  void watch(const HttpRequest &Request,
             std::function<void()> HandleDisconnect);
  void unwatch(const HttpRequest &Request);

  /// Whether the caller of \p Request, which must be in progress, has
  /// disconnected. Does not block; may be called from any thread.
  bool hasDisconnected(const HttpRequest &Request) const;

  /// Number of requests whose handler runs. The response may not have been
  /// written when it has ended; stop() waits for that.
  std::size_t running() const;

  /// Makes each connection close after its next response.
  void closeConnectionsAfterResponse();

  /// Waits until all responses have been written, at most \p Timeout, then
  /// closes all connections.
  void stop(Duration Timeout);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_HTTPSERVER_H
