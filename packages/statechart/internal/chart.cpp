#include "statechart/chart.h"

#include "core/error.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <pugixml.hpp>
#include <set>
#include <sstream>

namespace cyclamenwalk {

namespace {

/// Entry and exit actions of one state.
struct StateActions {
  std::vector<std::string> m_OnEntry;
  std::vector<std::string> m_OnExit;
};

class ChartParser {
public:
  explicit ChartParser(std::string Name) { m_Data.m_Name = std::move(Name); }

  ChartData parse(const std::string &Text) {
    pugi::xml_document Document;
    auto Result = Document.load_buffer(Text.data(), Text.size());
    if (!Result)
      fail(ResultCode::ChartUnreadable, Result.description());
    pugi::xml_node Root = Document.child("scxml");
    if (!Root)
      fail(ResultCode::ChartUnreadable, std::string("root element is <") +
                                            Document.document_element().name() +
                                            ">, expected <scxml>");
    for (pugi::xml_node Child : childElements(Root))
      readState(Child);
    moveInitialStateFirst(Root.attribute("initial").value());
    mergeStateActions();
    checkStateReferences();
    checkReachability();
    return std::move(m_Data);
  }

private:
  [[noreturn]] void fail(ResultCode Code, const std::string &Detail) const {
    throw Error(Code, "chart " + m_Data.m_Name + ": " + Detail);
  }

  static std::vector<pugi::xml_node> childElements(pugi::xml_node Parent) {
    std::vector<pugi::xml_node> Elements;
    for (pugi::xml_node Child : Parent.children())
      if (Child.type() == pugi::node_element)
        Elements.push_back(Child);
    return Elements;
  }

  [[noreturn]] void failUnsupported(pugi::xml_node Node) const {
    fail(ResultCode::ChartUnknownElement,
         std::string("element <") + Node.name() + "> is not supported");
  }

  void readState(pugi::xml_node Node) {
    std::string Kind = Node.name();
    if (Kind != "state" && Kind != "final")
      failUnsupported(Node);
    std::string Id = Node.attribute("id").value();
    m_Data.m_States.push_back(Id);
    if (Kind == "final")
      m_Data.m_FinalStates.push_back(Id);
    for (pugi::xml_node Child : childElements(Node))
      readStateChild(Id, Child);
  }

  void readStateChild(const std::string &State, pugi::xml_node Node) {
    std::string Kind = Node.name();
    if (Kind == "transition")
      readTransition(State, Node);
    else if (Kind == "onentry")
      m_StateActions[State].m_OnEntry = readActions(Node);
    else if (Kind == "onexit")
      m_StateActions[State].m_OnExit = readActions(Node);
    else
      failUnsupported(Node);
  }

  void readTransition(const std::string &State, pugi::xml_node Node) {
    ChartTransition Transition;
    Transition.m_Source = State;
    Transition.m_Event = Node.attribute("event").value();
    Transition.m_Guard = Node.attribute("cond").value();
    pugi::xml_attribute Target = Node.attribute("target");
    Transition.m_Target = Target ? Target.value() : State;
    Transition.m_Actions = readActions(Node);
    m_Data.m_Transitions.push_back(std::move(Transition));
  }

  std::vector<std::string> readActions(pugi::xml_node Parent) const {
    std::vector<std::string> Names;
    for (pugi::xml_node Child : childElements(Parent)) {
      if (std::string(Child.name()) != "cw:call")
        failUnsupported(Child);
      Names.emplace_back(Child.attribute("hook").value());
    }
    return Names;
  }

  void moveInitialStateFirst(const std::string &Initial) {
    auto &States = m_Data.m_States;
    auto It = std::find(States.begin(), States.end(), Initial);
    if (It == States.end())
      fail(ResultCode::ChartUnknownState,
           "initial state \"" + Initial + "\" is not a state of the chart");
    std::rotate(States.begin(), It, It + 1);
  }

  /// Merges exit and entry actions into the transitions that leave or enter a
  /// state, so that the interpreter runs one list of actions.
  void mergeStateActions() {
    for (ChartTransition &Transition : m_Data.m_Transitions) {
      if (Transition.m_Target == Transition.m_Source)
        continue;
      auto &Actions = Transition.m_Actions;
      const auto &Exit = m_StateActions[Transition.m_Source].m_OnExit;
      Actions.insert(Actions.begin(), Exit.begin(), Exit.end());
      const auto &Entry = m_StateActions[Transition.m_Target].m_OnEntry;
      Actions.insert(Actions.end(), Entry.begin(), Entry.end());
    }
  }

  void checkStateReferences() const {
    std::set<std::string> Ids;
    for (const std::string &Id : m_Data.m_States)
      if (Id.empty() || !Ids.insert(Id).second)
        fail(ResultCode::ChartUnknownState,
             "state id \"" + Id + "\" is empty or not unique");
    for (const ChartTransition &Transition : m_Data.m_Transitions)
      if (!Ids.count(Transition.m_Target))
        fail(ResultCode::ChartUnknownState,
             "transition target \"" + Transition.m_Target +
                 "\" is not a state of the chart");
  }

  void checkReachability() const {
    std::set<std::string> Reached{m_Data.m_States.front()};
    for (std::size_t PreviousCount = 0; PreviousCount != Reached.size();) {
      PreviousCount = Reached.size();
      for (const ChartTransition &Transition : m_Data.m_Transitions)
        if (Reached.count(Transition.m_Source))
          Reached.insert(Transition.m_Target);
    }
    for (const std::string &State : m_Data.m_States)
      if (!Reached.count(State))
        fail(ResultCode::ChartUnreachableState,
             "state \"" + State +
                 "\" cannot be reached from the initial state");
  }

  ChartData m_Data;
  std::map<std::string, StateActions> m_StateActions;
};

} // namespace

class Chart::Impl {
public:
  ChartData m_Data;
};

Chart::Chart(std::shared_ptr<const Impl> Data) : m_Impl(std::move(Data)) {}

const ChartData &Chart::data() const { return m_Impl->m_Data; }

Chart Chart::parse(const std::string &Text, const std::string &Name) {
  auto Data = std::make_shared<Impl>();
  Data->m_Data = ChartParser(Name).parse(Text);
  return Chart(std::move(Data));
}

Chart Chart::load(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    throw Error(ResultCode::ChartUnreadable,
                "chart " + File + ": the file cannot be opened");
  std::stringstream Text;
  Text << Stream.rdbuf();
  return parse(Text.str(), File);
}

} // namespace cyclamenwalk
