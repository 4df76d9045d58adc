#ifndef CYCLAMENWALK_HTTP_HTTPSERVER_H
#define CYCLAMENWALK_HTTP_HTTPSERVER_H

#include "budget/types/budgetplan.h"
#include "core/imetrics.h"
#include "core/types/requestlimits.h"
#include "core/types/resultcode.h"
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
  /// Largest accepted header; setLimits() can only lower it, because it decides
  /// on the size of a connection's buffer.
  std::size_t m_HeaderLimit = 16 * 1024;
  /// Limits on the time of a header and the rate of a body; zero for none.
  Duration m_HeaderTimeout = Duration::zero();
  std::uint64_t m_BodyBytesPerSecond = 0;
  /// Memory and number of the connections.
  ListenerShare m_Share{1024ULL * 1024 * 1024, 4096};
  /// Traffic threads for handlers that block.
  std::size_t m_MaxHandlerThreads = 64;
  /// Counts refused requests; may be null.
  IMetrics *m_Metrics = nullptr;
};

/// A listener on \p Address within \p Limits and \p Share.
HttpServerSettings makeListener(const std::string &Address,
                                const RequestLimits &Limits,
                                const ListenerShare &Share, IMetrics &Metrics);

/// Memory of one connection whose header has at most \p HeaderLimit bytes.
std::size_t connectionBytes(std::size_t HeaderLimit);

/// What the clients of a server use at the moment.
struct HttpServerUsage {
  std::uint64_t m_Bytes = 0;
  std::uint64_t m_LimitBytes = 0;
  std::size_t m_Connections = 0;
};

/// An HTTP server based on libmicrohttpd. One traffic thread polls all
/// connections. Requests whose memory, size or speed exceed the limits are
/// refused before a handler runs.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;
  /// Passes the response on, from any thread. Only the first call counts.
  using Respond = std::function<void(HttpResponse)>;
  using AsyncHandler = std::function<void(HttpRequest &&, Respond)>;
  /// Makes the response to a request that is refused.
  using RefusalHook =
      std::function<HttpResponse(ResultCode, const std::string &Detail)>;

  explicit HttpServer(const HttpServerSettings &Settings);
  HttpServer(HttpServer &&) noexcept;
  ~HttpServer();

  /// Handles \p Method on \p Path, whose placeholders are written as :name. The
  /// handler runs on a thread of its own and may block.
  void route(const std::string &Method, const std::string &Path,
             Handler HandleRequest);
  /// The handler runs on the polling thread and must not block.
  void routeQuick(const std::string &Method, const std::string &Path,
                  Handler HandleRequest);
  void routeAsync(const std::string &Method, const std::string &Path,
                  AsyncHandler HandleRequest);

  /// Set the handler for paths without a route.
  void onNotFound(Handler HandleRequest);
  void onNotFoundAsync(AsyncHandler HandleRequest);
  /// Sets the handler for bodies above the limit, which runs on the polling
  /// thread.
  void onBodyTooLarge(Handler HandleRequest);
  void onRefused(RefusalHook EncodeRefusal);

  /// Applies to requests that begin later. Thread-safe.
  void setLimits(const RequestLimits &Limits);

  /// Throws Error with ListenFailed if the address is in use.
  void start();

  /// Calls \p HandleDisconnect on the polling thread, at most once, if the
  /// caller of \p Request disconnects before unwatch().
  void watch(const HttpRequest &Request,
             std::function<void()> HandleDisconnect);
  /// As watch(), but calls \p HandleDisconnect again later if it returns false.
  void watchUntilDelivered(const HttpRequest &Request,
                           std::function<bool()> HandleDisconnect);
  void unwatch(const HttpRequest &Request);

  /// Whether the caller of \p Request, which must be in progress, has
  /// disconnected. Does not block; may be called from any thread.
  bool hasDisconnected(const HttpRequest &Request) const;

  /// Number of requests without a response. The response may not have been
  /// written when it is given; stop() waits for that.
  std::size_t running() const;

  /// Thread-safe.
  HttpServerUsage usage() const;

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
