#ifndef CYCLAMENWALK_WORKER_INTERNAL_EVIDENCERULES_H
#define CYCLAMENWALK_WORKER_INTERNAL_EVIDENCERULES_H

#include "worker/internal/run.h"
#include "worker/internal/sessionchart.h"
#include "worker/types/evidence.h"

#include <optional>

namespace cyclamenwalk {

/// What an agent knows of the server that a session is held with.
struct KnownServer {
  /// Start of the instance as announced; zero when unknown.
  Duration m_AnnouncedStart{};
  /// Start of the instance as its own replies state it; zero before the first.
  Duration m_OwnStart{};
  /// When the instance replied for the first time; zero before.
  TimePoint m_FirstReplyAt;
};

/// The only place that draws conclusions from evidence about runs and servers.
/// A run has ended when its end is listed, when a list that must contain it
/// does not, when its lease has lapsed or when its order was rejected or never
/// sent. Returns the event to fire; nothing when the evidence is not
/// conclusive.
std::optional<RunEvent> eventFor(const Run &Subject,
                                 const RunEvidence &Evidence);
std::optional<SessionEvent> eventFor(const KnownServer &Known,
                                     const ServerEvidence &Evidence);

/// Whether a reply is one of an earlier incarnation of the server that arrives
/// late.
bool isFromEarlierIncarnation(const KnownServer &Known,
                              const OwnStartTime &Stated);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_EVIDENCERULES_H
