#include "configuration/types/desiredstate.h"

#include "core/types/durationtext.h"

#include <sstream>

namespace cyclamenwalk {

namespace {

using FlatValues = std::map<std::string, std::string>;

std::string text(Duration Value) { return formatDuration(Value); }

std::string text(std::uint32_t Value) { return std::to_string(Value); }

std::string text(double Value) {
  std::ostringstream Stream;
  Stream << Value;
  return Stream.str();
}

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

void flatten(FlatValues &Values, const RouteConfig &Config) {
  std::string Prefix = "route " + Config.m_Name + " ";
  Values[Prefix + "host"] = Config.m_Host;
  Values[Prefix + "path_prefix"] = Config.m_PathPrefix;
  Values[Prefix + "service"] = Config.m_Service;
  Values[Prefix + "priority"] = text(Config.m_Priority);
  Values[Prefix + "max_attempts"] = text(Config.m_MaxAttempts);
  Values[Prefix + "slack_factor"] = text(Config.m_SlackFactor);
  Values[Prefix + "target_latency"] = text(Config.m_TargetLatency);
  Values[Prefix + "timeout"] = text(Config.m_Timeout);
  Values[Prefix + "recommendation"] =
      Config.m_RequiresRecommendation ? "yes" : "no";
}

FlatValues flatten(const DesiredState &State) {
  FlatValues Values;
  for (const RouteConfig &Route : State.m_Routes)
    flatten(Values, Route);
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
