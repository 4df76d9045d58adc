#ifndef CYCLAMENWALK_REQUEST_TYPES_SUBMISSION_H
#define CYCLAMENWALK_REQUEST_TYPES_SUBMISSION_H

#include "job/types/jobspec.h"

#include <functional>
#include <optional>
#include <string>

namespace cyclamenwalk {

/// A caller's request. A ticket or an Idempotency-Key makes it run at most
/// once.
struct Submission {
  JobSpec m_Spec;
  bool m_IsRepeatable = true;
  std::optional<TicketId> m_Ticket;
  /// Chosen by the caller. Empty for none.
  std::string m_IdempotencyKey;
};

/// Fetches the answer of a job from the entry that owns it. The code is
/// OwnerLost if that entry cannot be reached.
using FetchFromOwner = std::function<void(JobId, JobCallback)>;

/// The stored value of an Idempotency-Key: the job that claimed it.
struct ClaimRow {
  JobId m_Job;
};

/// Encodes and decodes stored rows. Provided by the wiring, so that this
/// package knows no encoding.
struct ClaimRowCodec {
  std::function<std::string(const ClaimRow &)> m_Encode;
  /// Returns nothing if the value cannot be decoded.
  std::function<std::optional<ClaimRow>(const std::string &)> m_Decode;
};

/// Limits and periods of the request service.
struct RequestSettings {
  /// Time from issue until a ticket expires, whether it was used or not.
  Duration m_TicketLifetime = seconds(600);
  /// Maximum number of tickets that have not expired.
  std::size_t m_MaxTickets = 100000;
  /// Maximum number of claims in one transaction, and the time for which they
  /// are collected before it is written.
  std::size_t m_MaxClaimBatch = 100;
  Duration m_ClaimBatchDelay = milliseconds(5);
  /// Maximum attempts to determine the result of a claim, and the time between
  /// them.
  int m_MaxClaimAttempts = 4;
  Duration m_ClaimRetryDelay = milliseconds(250);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_TYPES_SUBMISSION_H
