#ifndef CYCLAMENWALK_WORKER_INTERNAL_SESSIONCHART_H
#define CYCLAMENWALK_WORKER_INTERNAL_SESSIONCHART_H

#include "statechart/boundchart.h"

namespace cyclamenwalk {

enum class SessionState {
  Reconciling,
  Serving,
  Unreachable,
  Leaving,
  Closing,
  Gone
};
enum class SessionEvent {
  NoOrphans,
  OrphansFound,
  NotReached,
  Leave,
  Deregistered,
  Restarted,
  Misannounced,
  RunsOver,
  BackendLost
};

template <> struct ChartNames<SessionState> {
  static constexpr std::array<std::string_view, 6> Values{
      "reconciling", "serving", "unreachable", "leaving", "closing", "gone"};
};
template <> struct ChartNames<SessionEvent> {
  static constexpr std::array<std::string_view, 9> Values{
      "noOrphans", "orphansFound", "notReached", "leave",      "deregistered",
      "restarted", "misannounced", "runsOver",   "backendLost"};
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_SESSIONCHART_H
