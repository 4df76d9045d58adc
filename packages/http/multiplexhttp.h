#ifndef CYCLAMENWALK_HTTP_MULTIPLEXHTTP_H
#define CYCLAMENWALK_HTTP_MULTIPLEXHTTP_H

#include "core/icontrolqueue.h"
#include "http/ihttpclient.h"

#include <cstddef>
#include <memory>

namespace cyclamenwalk {

struct MultiplexSettings {
  /// Maximum number of connections to one server; further requests are queued.
  std::size_t m_ConnectionsPerHost = 16;
  Duration m_ConnectTimeout = milliseconds(500);
};

/// An HTTP client that multiplexes its requests on one traffic thread over
/// persistent connections. A connection whose request got no response is not
/// reused. A request whose kept connection breaks before the response begins is
/// sent again if it is a GET; others get no response. When a kept connection
/// brings no response in time, the idle ones to that server are not used again.
class MultiplexHttp final : public IHttpClient {
public:
  MultiplexHttp(const MultiplexSettings &Settings, IControlQueue &Control);
  ~MultiplexHttp() override;

  void send(HttpRequest Request, Duration Timeout,
            Done HandleResponse) override;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_MULTIPLEXHTTP_H
