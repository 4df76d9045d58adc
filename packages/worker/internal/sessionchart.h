#ifndef CYCLAMENWALK_WORKER_INTERNAL_SESSIONCHART_H
#define CYCLAMENWALK_WORKER_INTERNAL_SESSIONCHART_H

#include "statechart/boundchart.h"

namespace cyclamenwalk {

enum class SessionState { Reconciling, Serving, Unreachable, Leaving, Gone };
enum class SessionEvent {
  NoOrphans,
  OrphansFound,
  NotReached,
  Leave,
  BackendLost
};

template <> struct ChartNames<SessionState> {
  static constexpr std::array<std::string_view, 5> Values{
      "reconciling", "serving", "unreachable", "leaving", "gone"};
};
template <> struct ChartNames<SessionEvent> {
  static constexpr std::array<std::string_view, 5> Values{
      "noOrphans", "orphansFound", "notReached", "leave", "backendLost"};
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_SESSIONCHART_H
