#include "configuration/types/desiredstate.h"

namespace cyclamenwalk {

namespace {

using FlatValues = std::map<std::string, std::string>;

std::string text(Duration Value) {
  return std::to_string(toMilliseconds(Value)) + "ms";
}

std::string text(std::uint32_t Value) { return std::to_string(Value); }

std::string text(const std::set<std::string> &Names) {
  std::string Joined;
  for (const std::string &Name : Names)
    Joined += (Joined.empty() ? "" : ",") + Name;
  return Joined.empty() ? "all" : Joined;
}

void flatten(FlatValues &Values, const std::string &Name,
             const ServiceConfig &Config) {
  std::string Prefix = "service " + Name + " ";
  Values[Prefix + "slots"] = text(Config.m_Slots);
  Values[Prefix + "connections"] = text(Config.m_Connections);
  Values[Prefix + "long_share"] = text(Config.m_LongSharePercent) + "%";
  Values[Prefix + "long_threshold"] = text(Config.m_LongThreshold);
  Values[Prefix + "default_deadline"] = text(Config.m_DefaultDeadline);
  Values[Prefix + "max_deadline"] = text(Config.m_MaxDeadline);
  Values[Prefix + "max_tasks"] = text(Config.m_MaxTasks);
}

void flatten(FlatValues &Values, const std::string &Name,
             const TeamConfig &Config) {
  std::string Prefix = "team " + Name + " ";
  Values[Prefix + "weight"] = text(Config.m_Weight);
  Values[Prefix + "quota"] = text(Config.m_Quota);
  Values[Prefix + "services"] = text(Config.m_Services);
}

FlatValues flatten(const DesiredState &State) {
  FlatValues Values;
  for (const auto &NameAndConfig : State.m_Services)
    flatten(Values, NameAndConfig.first, NameAndConfig.second);
  for (const auto &NameAndConfig : State.m_Teams)
    flatten(Values, NameAndConfig.first, NameAndConfig.second);
  return Values;
}

} // namespace

const RouteConfig *findRoute(const DesiredState &State, const std::string &Host,
                             const std::string &Path) {
  const RouteConfig *Longest = nullptr;
  for (const RouteConfig &Route : State.m_Routes) {
    bool IsMatching =
        Route.m_Host == Host && Path.starts_with(Route.m_PathPrefix);
    if (!IsMatching)
      continue;
    bool HasLongerPrefix =
        !Longest || Route.m_PathPrefix.size() > Longest->m_PathPrefix.size();
    if (HasLongerPrefix)
      Longest = &Route;
  }
  return Longest;
}

std::vector<std::string> listChanges(const DesiredState &Before,
                                     const DesiredState &After) {
  std::vector<std::string> Changes;
  FlatValues OldValues = flatten(Before);
  FlatValues NewValues = flatten(After);
  for (const auto &Value : OldValues)
    if (!NewValues.count(Value.first))
      Changes.push_back("- " + Value.first + " = " + Value.second);
  for (const auto &Value : NewValues) {
    auto OldIt = OldValues.find(Value.first);
    if (OldIt == OldValues.end())
      Changes.push_back("+ " + Value.first + " = " + Value.second);
    else if (OldIt->second != Value.second)
      Changes.push_back("~ " + Value.first + " = " + OldIt->second + " -> " +
                        Value.second);
  }
  return Changes;
}

} // namespace cyclamenwalk
