#ifndef CYCLAMENWALK_HTTP_BLOCKINGHTTP_H
#define CYCLAMENWALK_HTTP_BLOCKINGHTTP_H

#include "core/types/time.h"
#include "http/types/httpmessage.h"

namespace cyclamenwalk {

/// Sends \p Request once, on a new connection, and blocks until the response
/// arrives; its status is 0 if none does, and the server may have processed the
/// request. Must not be called on the control thread.
HttpResponse sendHttpRequest(const HttpRequest &Request, Duration Timeout);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_BLOCKINGHTTP_H
