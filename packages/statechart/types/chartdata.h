#ifndef CYCLAMENWALK_STATECHART_TYPES_CHARTDATA_H
#define CYCLAMENWALK_STATECHART_TYPES_CHARTDATA_H

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// A transition of a chart; states, events and hooks are given by name.
struct ChartTransition {
  std::string m_Source;
  std::string m_Event;
  /// Guard hook; empty for an unconditional transition.
  std::string m_Guard;
  /// Equal to m_Source for an internal transition, which runs no exit and entry
  /// actions.
  std::string m_Target;
  /// Action hooks in the order of their calls.
  std::vector<std::string> m_Actions;
};

/// The content of a chart. The first state is the initial state.
struct ChartData {
  std::string m_Name;
  std::vector<std::string> m_States;
  std::vector<std::string> m_FinalStates;
  std::vector<ChartTransition> m_Transitions;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STATECHART_TYPES_CHARTDATA_H
