#ifndef CYCLAMENWALK_HTTP_IHTTPCLIENT_H
#define CYCLAMENWALK_HTTP_IHTTPCLIENT_H

#include "core/types/time.h"
#include "http/types/httpmessage.h"

#include <functional>

namespace cyclamenwalk {

/// Sends HTTP requests from traffic threads. Called on the control thread.
class IHttpClient {
public:
  using Done = std::function<void(HttpResponse)>;

  virtual ~IHttpClient() = default;

  /// Sends \p Request; \p Call gets the response on the control thread, with
  /// status 0 when none came within \p Timeout. The request may have had its
  /// effect all the same, unless m_WasSent is false.
  virtual void send(HttpRequest Request, Duration Timeout, Done Call) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_IHTTPCLIENT_H
