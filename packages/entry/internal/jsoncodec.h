#ifndef CYCLAMENWALK_ENTRY_INTERNAL_JSONCODEC_H
#define CYCLAMENWALK_ENTRY_INTERNAL_JSONCODEC_H

#include "http/types/httpmessage.h"
#include "job/types/entrystatus.h"
#include "job/types/jobspec.h"
#include "request/types/submission.h"

#include <string>

namespace cyclamenwalk {

/// Reads the body of POST /v1/jobs; throws Error with MalformedBody.
Submission decodeSubmission(const std::string &Body,
                            const std::string &IdempotencyKey);

/// The response for a job that has ended.
HttpResponse encodeAnswer(const JobAnswer &Answer);

/// The inverse of encodeAnswer(), for an answer fetched from another entry.
/// Responses that are not about the job itself become OwnerLost.
JobAnswer decodeAnswer(JobId Id, const HttpResponse &Response);

/// The response for a job that is still running.
HttpResponse encodeRunning(JobId Id);

HttpResponse encodeTicket(TicketId Id);

/// A response with problem details (RFC 7807), the result code and its
/// outcome. \p JobText is the job id, empty if there is no job.
HttpResponse encodeProblem(ResultCode Code, const std::string &Detail,
                           const std::string &JobText = "");

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_INTERNAL_JSONCODEC_H
