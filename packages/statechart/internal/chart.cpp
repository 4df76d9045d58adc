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

class Reader {
public:
  explicit Reader(std::string Name) { m_Data.m_Name = std::move(Name); }

  ChartData read(const std::string &Text) {
    pugi::xml_document Document;
    auto Parsed = Document.load_buffer(Text.data(), Text.size());
    if (!Parsed)
      fail(ResultCode::ChartUnreadable, Parsed.description());
    pugi::xml_node Root = Document.child("scxml");
    if (!Root)
      fail(ResultCode::ChartUnreadable, "no scxml element");
    for (pugi::xml_node Child : elements(Root))
      readState(Child);
    putInitialFirst(Root.attribute("initial").value());
    addStateActions();
    checkTargets();
    checkReachable();
    return std::move(m_Data);
  }

private:
  [[noreturn]] void fail(ResultCode Code, const std::string &Detail) const {
    throw Error(Code, "chart " + m_Data.m_Name + ": " + Detail);
  }

  static std::vector<pugi::xml_node> elements(pugi::xml_node Parent) {
    std::vector<pugi::xml_node> Found;
    for (pugi::xml_node Child : Parent.children())
      if (Child.type() == pugi::node_element)
        Found.push_back(Child);
    return Found;
  }

  [[noreturn]] void failUnknown(pugi::xml_node Node) const {
    fail(ResultCode::ChartUnknownElement,
         std::string("element ") + Node.name());
  }

  void readState(pugi::xml_node Node) {
    std::string Kind = Node.name();
    if (Kind != "state" && Kind != "final")
      failUnknown(Node);
    std::string Id = Node.attribute("id").value();
    m_Data.m_States.push_back(Id);
    if (Kind == "final")
      m_Data.m_FinalStates.push_back(Id);
    for (pugi::xml_node Child : elements(Node))
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
      failUnknown(Node);
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
    for (pugi::xml_node Child : elements(Parent)) {
      if (std::string(Child.name()) != "cw:call")
        failUnknown(Child);
      Names.emplace_back(Child.attribute("hook").value());
    }
    return Names;
  }

  void putInitialFirst(const std::string &Initial) {
    auto &States = m_Data.m_States;
    auto Found = std::find(States.begin(), States.end(), Initial);
    if (Found == States.end())
      fail(ResultCode::ChartUnknownState, "initial state " + Initial);
    std::rotate(States.begin(), Found, Found + 1);
  }

  /// Folds exit and entry actions into the transitions that leave or enter a
  /// state, so that the interpreter walks one list.
  void addStateActions() {
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

  void checkTargets() const {
    std::set<std::string> Known(m_Data.m_States.begin(), m_Data.m_States.end());
    if (Known.size() != m_Data.m_States.size() || Known.count(""))
      fail(ResultCode::ChartUnknownState, "a state id is empty or repeated");
    for (const ChartTransition &Transition : m_Data.m_Transitions)
      if (!Known.count(Transition.m_Target))
        fail(ResultCode::ChartUnknownState, "target " + Transition.m_Target);
  }

  void checkReachable() const {
    std::set<std::string> Reached{m_Data.m_States.front()};
    for (std::size_t Before = 0; Before != Reached.size();) {
      Before = Reached.size();
      for (const ChartTransition &Transition : m_Data.m_Transitions)
        if (Reached.count(Transition.m_Source))
          Reached.insert(Transition.m_Target);
    }
    for (const std::string &State : m_Data.m_States)
      if (!Reached.count(State))
        fail(ResultCode::ChartUnreachableState, "state " + State);
  }

  ChartData m_Data;
  std::map<std::string, StateActions> m_StateActions;
};

} // namespace

class Chart::Impl {
public:
  ChartData m_Data;
};

Chart::Chart(std::unique_ptr<Impl> Data) : m_Impl(std::move(Data)) {}
Chart::Chart(Chart &&) noexcept = default;
Chart &Chart::operator=(Chart &&) noexcept = default;
Chart::~Chart() = default;

const ChartData &Chart::data() const { return m_Impl->m_Data; }

Chart Chart::parse(const std::string &Text, const std::string &Name) {
  auto Data = std::make_unique<Impl>();
  Data->m_Data = Reader(Name).read(Text);
  return Chart(std::move(Data));
}

Chart Chart::load(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    throw Error(ResultCode::ChartUnreadable,
                "chart " + File + ": no such file");
  std::stringstream Text;
  Text << Stream.rdbuf();
  return parse(Text.str(), File);
}

} // namespace cyclamenwalk
