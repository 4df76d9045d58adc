#ifndef CYCLAMENWALK_HTTP_INTERNAL_RAWHTTP_H
#define CYCLAMENWALK_HTTP_INTERNAL_RAWHTTP_H

#include "budget/memorybudget.h"
#include "core/types/resultcode.h"
#include "core/types/time.h"
#include "http/internal/exchange.h"

#include <microhttpd.h>
#include <string>

namespace cyclamenwalk {

/// Stores method, headers, query and announced length of the request on
/// \p Target.m_Raw.
void readRequestHead(Exchange &Target, const char *Method);

/// Whether the request has a body.
bool hasBody(MHD_Connection *Raw);

std::size_t headerBytes(MHD_Connection *Raw);

/// Queues \p Response, whose body is moved and charged to \p Memory until it
/// has been written.
MHD_Result queueResponse(MHD_Connection *Raw, HttpResponse Response,
                         Charge Memory);

/// Writes \p Response to the socket as far as it takes it without waiting. Only
/// for connections on which no response is being written.
void sendDirectly(int Socket, const HttpResponse &Response);

/// A refusal without a body.
HttpResponse makePlainRefusal(ResultCode Code);

/// The number of bytes that have arrived at \p Socket; zero where the system
/// doesn't tell.
std::uint64_t receivedBytes(int Socket);

/// Whether bytes have arrived that the library has not read yet.
bool hasUnreadBytes(int Socket);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_RAWHTTP_H
