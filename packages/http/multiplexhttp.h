#ifndef CYCLAMENWALK_HTTP_MULTIPLEXHTTP_H
#define CYCLAMENWALK_HTTP_MULTIPLEXHTTP_H

#include "core/icontrolqueue.h"
#include "http/ihttpclient.h"

#include <cstddef>
#include <memory>

namespace cyclamenwalk {

struct MultiplexSettings {
  /// Connections to one server; further requests wait for one.
  std::size_t m_ConnectionsPerHost = 16;
  Duration m_ConnectTimeout = milliseconds(500);
};

/// An HTTP client whose one traffic thread carries many requests at a time
/// over kept connections. After a request without a response its connection is
/// not used again.
class MultiplexHttp final : public IHttpClient {
public:
  MultiplexHttp(const MultiplexSettings &Settings, IControlQueue &Control);
  ~MultiplexHttp() override;

  void send(HttpRequest Request, Duration Timeout, Done Call) override;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_MULTIPLEXHTTP_H
