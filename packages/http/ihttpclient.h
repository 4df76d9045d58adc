#ifndef CYCLAMENWALK_HTTP_IHTTPCLIENT_H
#define CYCLAMENWALK_HTTP_IHTTPCLIENT_H

#include "core/types/time.h"
#include "http/types/httpmessage.h"

#include <functional>

namespace cyclamenwalk {

/// Asynchronous HTTP client. Called on the control thread; requests are sent by
/// traffic threads.
class IHttpClient {
public:
  using Done = std::function<void(HttpResponse)>;

  virtual ~IHttpClient() = default;

  /// Sends \p Request and passes the response to \p HandleResponse on the
  /// control thread. If none came within \p Timeout its status is 0; the server
  /// may still have processed the request, or do so later, unless m_WasSent is
  /// false. At most one copy of the request is sent, except of a GET.
  virtual void send(HttpRequest Request, Duration Timeout,
                    Done HandleResponse) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_IHTTPCLIENT_H
