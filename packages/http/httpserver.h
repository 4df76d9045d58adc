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
  /// IP:PORT to listen on.
  std::string m_Listen;
  /// Largest request body, in bytes; a larger one is refused.
  std::size_t m_BodyLimit = 4 * 1024 * 1024;
  /// An idle connection is closed after this time; zero for never.
  Duration m_IdleLimit = Duration::zero();
};

/// An HTTP server over ulfius. Each connection has a traffic thread of its
/// own, on which handlers run and may wait.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;

  explicit HttpServer(const HttpServerSettings &Settings);
  HttpServer(HttpServer &&) noexcept;
  ~HttpServer();

  /// Serves \p Method on \p Path, whose placeholders are written as :name.
  void route(const std::string &Method, const std::string &Path, Handler Serve);

  /// What answers a body beyond the limit, and a path without a route.
  void onTooLarge(Handler Serve);
  void onNotFound(Handler Serve);

  /// Throws Error with ListenFailed when the address is not free.
  void start();

  /// Calls \p Departed from another thread, at most once, when the caller of
  /// \p Request closes its connection before unwatch().
  void watch(const HttpRequest &Request, std::function<void()> Departed);
  void unwatch(const HttpRequest &Request);

  /// Whether the caller of \p Request, which is being handled, has closed its
  /// connection. Does not wait; may be called from any thread.
  bool hasDisconnected(const HttpRequest &Request) const;

  /// Handlers that are running now.
  std::size_t running() const;

  /// From now on connections are closed after their response.
  void closeConnections();

  /// Waits until no handler runs, at most \p Limit, then closes all
  /// connections.
  void stop(Duration Limit);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_HTTPSERVER_H
