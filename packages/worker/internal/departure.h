#ifndef CYCLAMENWALK_WORKER_INTERNAL_DEPARTURE_H
#define CYCLAMENWALK_WORKER_INTERNAL_DEPARTURE_H

#include "worker/internal/run.h"

#include <optional>

namespace cyclamenwalk {

/// A run in progress on a server that has stated how long it stays at least.
struct DepartingRun {
  /// The least time that the run is expected to need until it ends.
  Duration m_MinRemaining{};
  /// The expected run time from the start, for another attempt.
  Duration m_RunTime{};
  /// The time until the server may end.
  Duration m_ServerTime{};
  Duration m_UntilDeadline{};
};

/// \p Slowness: ratio of run times to their estimates at this server.
DepartingRun forecastDeparture(const Run &Running, TimePoint ServerEndsAt,
                               double Slowness, TimePoint Now);

/// For servers that leave at short notice: whether a run is stopped so that its
/// task can run elsewhere. Only if it can't end here, but another attempt can
/// end before the deadline; otherwise it loses nothing by running on.
bool shouldMove(const DepartingRun &Candidate);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_DEPARTURE_H
