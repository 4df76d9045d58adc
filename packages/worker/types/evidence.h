#ifndef CYCLAMENWALK_WORKER_TYPES_EVIDENCE_H
#define CYCLAMENWALK_WORKER_TYPES_EVIDENCE_H

#include "worker/types/backend.h"

#include <string_view>
#include <variant>

namespace cyclamenwalk {

/// The reply to the start order of a run, or the lack of one.
struct StartReplied {
  OrderOutcome m_Outcome = OrderOutcome::Unanswered;
};

/// A hold reply lists the run as in progress.
struct ListedRunning {};

/// A hold reply lists the run as ended.
struct ListedEnd {
  RunOutcome m_Outcome = RunOutcome::Failed;
};

/// A hold reply lists the run neither as in progress nor as ended.
struct NotListed {
  /// When the hold was sent.
  TimePoint m_SentAt;
  /// The fencing token that the server confirmed with the reply.
  std::uint64_t m_ConfirmedToken = 0;
  /// Whether the reply lists all ends that this agent has not processed.
  bool m_HasAllEnds = false;
};

/// What an agent observes about one run.
using RunEvidence =
    std::variant<StartReplied, ListedRunning, ListedEnd, NotListed>;

/// The server states its own start time in a hold reply.
struct OwnStartTime {
  /// Zero when the reply does not state it.
  Duration m_StartedAt{};
};

/// Another instance has replied to an order at the server's address.
struct OtherInstanceReplied {
  /// When the order was sent.
  TimePoint m_SentAt;
};

/// The lease of the runs has ended without a renewal.
struct LeaseLapsed {};

/// A connection to the server could not be opened.
struct ConnectionRefused {};

/// An announcement states a later start of the server.
struct LaterAnnouncement {};

struct Deregistration {};

/// What an agent observes about one instance of a backend server.
using ServerEvidence =
    std::variant<OwnStartTime, OtherInstanceReplied, LeaseLapsed,
                 ConnectionRefused, LaterAnnouncement, Deregistration>;

/// Names for log lines.
std::string_view nameOf(OrderOutcome Outcome);
std::string_view nameOf(const RunEvidence &Evidence);
std::string_view nameOf(const ServerEvidence &Evidence);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_TYPES_EVIDENCE_H
