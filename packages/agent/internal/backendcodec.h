#ifndef CYCLAMENWALK_AGENT_INTERNAL_BACKENDCODEC_H
#define CYCLAMENWALK_AGENT_INTERNAL_BACKENDCODEC_H

#include "http/types/httpmessage.h"
#include "slot/types/execution.h"

#include <string>

namespace cyclamenwalk {

/// Reads the body of POST /v1/announce; throws Error with MalformedBody.
BackendOffer decodeOffer(const std::string &Body);

/// The body of POST /execute at the backend server.
std::string encodeExecution(const ExecutionRequest &Request);

/// Reads the response of the backend server to POST /execute.
ExecutionResult decodeExecution(const HttpResponse &Response);

/// A JSON object with one member that holds a text. Invalid UTF-8 is replaced.
std::string encodeTextMember(const std::string &Name, const std::string &Value);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_AGENT_INTERNAL_BACKENDCODEC_H
