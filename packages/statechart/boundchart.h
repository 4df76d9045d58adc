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

/// The names of an enumeration's values, in order. A lifecycle specialises
/// this for its state and its event enumeration.
template <typename Enum> struct ChartNames;

/// A chart whose hooks are bound to functions on \p Context, whose member
/// m_State holds the current state. Events are fired on the control thread.
template <typename Context, typename State, typename Event> class BoundChart {
public:
  using Guard = std::function<bool(const Context &)>;
  using Action = std::function<void(Context &)>;
  using Guards = std::map<std::string, Guard>;
  using Actions = std::map<std::string, Action>;

  /// Throws Error when a name of the chart is not bound or not known to the
  /// program, or the reverse.
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
      add(Transition, GuardHooks, ActionHooks);
  }

  State initial() const { return static_cast<State>(m_Initial); }

  /// Takes the first transition for \p What whose guard holds. The new state
  /// is set before the actions run. False when no transition applies.
  bool fire(Context &Subject, Event What) const {
    for (const Step &Candidate : steps(Subject, What)) {
      if (Candidate.m_Guard && !Candidate.m_Guard(Subject))
        continue;
      Subject.m_State = static_cast<State>(Candidate.m_Target);
      for (const Action &Call : Candidate.m_Actions)
        Call(Subject);
      return true;
    }
    return false;
  }

private:
  struct Step {
    Guard m_Guard;
    std::size_t m_Target = 0;
    std::vector<Action> m_Actions;
  };
  using Names = std::set<std::string>;

  static const auto &stateNames() { return ChartNames<State>::Values; }
  static const auto &eventNames() { return ChartNames<Event>::Values; }

  const std::vector<Step> &steps(const Context &Subject, Event What) const {
    std::size_t Row = static_cast<std::size_t>(Subject.m_State);
    return m_Table[Row * eventNames().size() + static_cast<std::size_t>(What)];
  }

  template <typename Array>
  std::size_t indexOf(const Array &All, std::string_view Name) const {
    auto Found = std::find(All.begin(), All.end(), Name);
    return static_cast<std::size_t>(Found - All.begin());
  }

  void add(const ChartTransition &Transition, const Guards &GuardHooks,
           const Actions &ActionHooks) {
    Step Added;
    if (!Transition.m_Guard.empty())
      Added.m_Guard = GuardHooks.at(Transition.m_Guard);
    Added.m_Target = indexOf(stateNames(), Transition.m_Target);
    for (const std::string &Name : Transition.m_Actions)
      Added.m_Actions.push_back(ActionHooks.at(Name));
    std::size_t Row = indexOf(stateNames(), Transition.m_Source);
    std::size_t Column = indexOf(eventNames(), Transition.m_Event);
    m_Table[Row * eventNames().size() + Column].push_back(std::move(Added));
  }

  static Names collectEvents(const ChartData &Data) {
    Names Found;
    for (const ChartTransition &Transition : Data.m_Transitions)
      Found.insert(Transition.m_Event);
    return Found;
  }

  static Names collectGuards(const ChartData &Data) {
    Names Found;
    for (const ChartTransition &Transition : Data.m_Transitions)
      if (!Transition.m_Guard.empty())
        Found.insert(Transition.m_Guard);
    return Found;
  }

  static Names collectActions(const ChartData &Data) {
    Names Found;
    for (const ChartTransition &Transition : Data.m_Transitions)
      Found.insert(Transition.m_Actions.begin(), Transition.m_Actions.end());
    return Found;
  }

  template <typename Array>
  void checkNames(const char *Kind, const Array &Program,
                  const Names &InChart) const {
    Names InProgram(Program.begin(), Program.end());
    check(ResultCode::ChartNameMismatch, Kind, InProgram, InChart);
  }

  template <typename Hooks>
  void checkHooks(const char *Kind, const Hooks &Bound,
                  const Names &InChart) const {
    Names InProgram;
    for (const auto &Hook : Bound)
      InProgram.insert(Hook.first);
    check(ResultCode::ChartUnboundHook, Kind, InProgram, InChart);
  }

  void check(ResultCode Code, const std::string &Kind, const Names &InProgram,
             const Names &InChart) const {
    Names Different;
    std::set_symmetric_difference(InProgram.begin(), InProgram.end(),
                                  InChart.begin(), InChart.end(),
                                  std::inserter(Different, Different.end()));
    if (Different.empty())
      return;
    std::string List;
    for (const std::string &Name : Different)
      List += " " + Name;
    throw Error(Code, "chart " + m_Name + ": " + Kind +
                          " not in both chart and program:" + List);
  }

  std::string m_Name;
  std::size_t m_Initial = 0;
  std::vector<std::vector<Step>> m_Table;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STATECHART_BOUNDCHART_H
