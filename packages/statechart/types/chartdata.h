#ifndef CYCLAMENWALK_STATECHART_TYPES_CHARTDATA_H
#define CYCLAMENWALK_STATECHART_TYPES_CHARTDATA_H

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// One transition of a chart, by names.
struct ChartTransition {
  std::string m_Source;
  std::string m_Event;
  /// The guard hook; empty when the transition is unconditional.
  std::string m_Guard;
  /// Equal to the source for a transition that stays in its state.
  std::string m_Target;
  /// Action hooks in the order in which they are called.
  std::vector<std::string> m_Actions;
};

/// The content of a chart. The first state is the initial one.
struct ChartData {
  std::string m_Name;
  std::vector<std::string> m_States;
  std::vector<std::string> m_FinalStates;
  std::vector<ChartTransition> m_Transitions;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STATECHART_TYPES_CHARTDATA_H
