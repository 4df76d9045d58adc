#ifndef CYCLAMENWALK_REQUEST_TYPES_SUBMISSION_H
#define CYCLAMENWALK_REQUEST_TYPES_SUBMISSION_H

#include "job/types/jobspec.h"

#include <functional>
#include <optional>
#include <string>

namespace cyclamenwalk {

/// A caller's request with its way of being run at most once, if any.
struct Submission {
  JobSpec m_Spec;
  bool m_IsRepeatable = true;
  std::optional<TicketId> m_Ticket;
  /// Chosen by the caller; empty for none.
  std::string m_IdempotencyKey;
};

/// Gets the answer of a job from the entry that owns it; OwnerLost when that
/// entry cannot be reached.
using FetchFromOwner = std::function<void(JobId, JobCallback)>;

/// The row that an Idempotency-Key leads to.
struct ClaimRow {
  JobId m_Job;
};

/// How rows are written; given by the wiring.
struct ClaimRowCodec {
  std::function<std::string(const ClaimRow &)> m_Encode;
  /// Empty for a value that cannot be read.
  std::function<std::optional<ClaimRow>(const std::string &)> m_Decode;
};

struct RequestSettings {
  /// How long an unused ticket is good, and a used one is remembered.
  Duration m_TicketLifetime = seconds(600);
  /// Tickets that may be out at once.
  std::size_t m_MaxTickets = 100000;
  /// Claims written in one transaction, and how long they are gathered.
  std::size_t m_MaxClaimBatch = 100;
  Duration m_ClaimGather = milliseconds(5);
  /// Attempts to learn what became of a claim, and the pause between them.
  int m_MaxClaimAttempts = 4;
  Duration m_ClaimPause = milliseconds(250);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_TYPES_SUBMISSION_H
