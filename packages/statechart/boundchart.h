#ifndef CYCLAMENWALK_STATECHART_BOUNDCHART_H
#define CYCLAMENWALK_STATECHART_BOUNDCHART_H

#include "core/error.h"
#include "statechart/chart.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwalk {

/// Chart names of the values of \p Enum, in the order of the values. Each
/// lifecycle specialises this for its state and its event enumeration.
template <typename Enum> struct ChartNames;

/// A chart whose hooks are bound to functions of \p Context. The member m_State
/// of \p Context holds the current state. Events are fired on the control
/// thread.
template <typename Context, typename State, typename Event> class BoundChart {
public:
  using Guard = std::function<bool(const Context &)>;
  using Action = std::function<void(Context &)>;
  using Guards = std::map<std::string, Guard>;
  using Actions = std::map<std::string, Action>;

  /// Throws Error unless the chart and the program have the same states, events
  /// and hooks.
  BoundChart(const Chart &Definition, const Guards &GuardHooks,
             const Actions &ActionHooks) {
    const ChartData &Data = Definition.data();
    m_Name = Data.m_Name;
    checkNames("state", stateNames(),
               {Data.m_States.begin(), Data.m_States.end()});
    checkNames("event", eventNames(), collectEvents(Data));
    checkHooks("guard", GuardHooks, collectGuards(Data));
    checkHooks("action", ActionHooks, collectActions(Data));
    m_Initial = indexOf(stateNames(), Data.m_States.front());
    m_Table.resize(stateNames().size() * eventNames().size());
    for (const ChartTransition &Transition : Data.m_Transitions)
      addTransition(Transition, GuardHooks, ActionHooks);
  }

  State initial() const { return static_cast<State>(m_Initial); }

  /// Takes the first transition for \p Trigger whose guard returns true. The
  /// state is changed before the actions run. Returns false when no transition
  /// applies.
  bool fire(Context &Instance, Event Trigger) const {
    for (const ResolvedTransition &Candidate :
         transitionsFor(Instance, Trigger)) {
      if (Candidate.m_Guard && !Candidate.m_Guard(Instance))
        continue;
      Instance.m_State = static_cast<State>(Candidate.m_Target);
      for (const Action &RunAction : Candidate.m_Actions)
        RunAction(Instance);
      return true;
    }
    return false;
  }

private:
  struct ResolvedTransition {
    Guard m_Guard;
    std::size_t m_Target = 0;
    std::vector<Action> m_Actions;
  };
  using Names = std::set<std::string>;

  static const auto &stateNames() { return ChartNames<State>::Values; }
  static const auto &eventNames() { return ChartNames<Event>::Values; }

  const std::vector<ResolvedTransition> &transitionsFor(const Context &Instance,
                                                        Event Trigger) const {
    std::size_t Row = static_cast<std::size_t>(Instance.m_State);
    return m_Table[Row * eventNames().size() +
                   static_cast<std::size_t>(Trigger)];
  }

  template <typename Array>
  std::size_t indexOf(const Array &Values, std::string_view Name) const {
    auto It = std::find(Values.begin(), Values.end(), Name);
    return static_cast<std::size_t>(It - Values.begin());
  }

  void addTransition(const ChartTransition &Transition,
                     const Guards &GuardHooks, const Actions &ActionHooks) {
    ResolvedTransition Resolved;
    if (!Transition.m_Guard.empty())
      Resolved.m_Guard = GuardHooks.at(Transition.m_Guard);
    Resolved.m_Target = indexOf(stateNames(), Transition.m_Target);
    for (const std::string &Name : Transition.m_Actions)
      Resolved.m_Actions.push_back(ActionHooks.at(Name));
    std::size_t Row = indexOf(stateNames(), Transition.m_Source);
    std::size_t Column = indexOf(eventNames(), Transition.m_Event);
    m_Table[Row * eventNames().size() + Column].push_back(std::move(Resolved));
  }

  static Names collectEvents(const ChartData &Data) {
    Names Result;
    for (const ChartTransition &Transition : Data.m_Transitions)
      Result.insert(Transition.m_Event);
    return Result;
  }

  static Names collectGuards(const ChartData &Data) {
    Names Result;
    for (const ChartTransition &Transition : Data.m_Transitions)
      if (!Transition.m_Guard.empty())
        Result.insert(Transition.m_Guard);
    return Result;
  }

  static Names collectActions(const ChartData &Data) {
    Names Result;
    for (const ChartTransition &Transition : Data.m_Transitions)
      Result.insert(Transition.m_Actions.begin(), Transition.m_Actions.end());
    return Result;
  }

  template <typename Array>
  void checkNames(const char *Kind, const Array &Values,
                  const Names &NamesInChart) const {
    Names NamesInProgram(Values.begin(), Values.end());
    requireSameNames(ResultCode::ChartNameMismatch, Kind, NamesInProgram,
                     NamesInChart);
  }

  template <typename Hooks>
  void checkHooks(const char *Kind, const Hooks &Bound,
                  const Names &NamesInChart) const {
    Names NamesInProgram;
    for (const auto &Hook : Bound)
      NamesInProgram.insert(Hook.first);
    requireSameNames(ResultCode::ChartUnboundHook, Kind, NamesInProgram,
                     NamesInChart);
  }

  void requireSameNames(ResultCode Code, const std::string &Kind,
                        const Names &NamesInProgram,
                        const Names &NamesInChart) const {
    Names Mismatches;
    std::set_symmetric_difference(NamesInProgram.begin(), NamesInProgram.end(),
                                  NamesInChart.begin(), NamesInChart.end(),
                                  std::inserter(Mismatches, Mismatches.end()));
    if (Mismatches.empty())
      return;
    std::string MismatchList;
    for (const std::string &Name : Mismatches)
      MismatchList += " " + Name;
    throw Error(Code, "chart " + m_Name + ": expected the same " + Kind +
                          " names in chart and program, only one of them has:" +
                          MismatchList);
  }

  std::string m_Name;
  std::size_t m_Initial = 0;
  std::vector<std::vector<ResolvedTransition>> m_Table;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STATECHART_BOUNDCHART_H
