#include "configuration/types/desiredstate.h"

namespace cyclamenwalk {

namespace {

using Flat = std::map<std::string, std::string>;

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

void flatten(Flat &Out, const std::string &Name, const ServiceConfig &Value) {
  std::string Prefix = "service " + Name + " ";
  Out[Prefix + "slots"] = text(Value.m_Slots);
  Out[Prefix + "connections"] = text(Value.m_Connections);
  Out[Prefix + "long_share"] = text(Value.m_LongSharePercent) + "%";
  Out[Prefix + "long_threshold"] = text(Value.m_LongThreshold);
  Out[Prefix + "default_deadline"] = text(Value.m_DefaultDeadline);
  Out[Prefix + "max_deadline"] = text(Value.m_MaxDeadline);
  Out[Prefix + "max_tasks"] = text(Value.m_MaxTasks);
}

void flatten(Flat &Out, const std::string &Name, const TeamConfig &Value) {
  std::string Prefix = "team " + Name + " ";
  Out[Prefix + "weight"] = text(Value.m_Weight);
  Out[Prefix + "quota"] = text(Value.m_Quota);
  Out[Prefix + "services"] = text(Value.m_Services);
}

Flat flatten(const DesiredState &State) {
  Flat Out;
  for (const auto &Service : State.m_Services)
    flatten(Out, Service.first, Service.second);
  for (const auto &Team : State.m_Teams)
    flatten(Out, Team.first, Team.second);
  return Out;
}

} // namespace

const RouteConfig *findRoute(const DesiredState &State, const std::string &Host,
                             const std::string &Path) {
  const RouteConfig *Longest = nullptr;
  for (const RouteConfig &Known : State.m_Routes) {
    bool Matches = Known.m_Host == Host && Path.starts_with(Known.m_PathPrefix);
    if (!Matches)
      continue;
    bool IsLonger =
        !Longest || Known.m_PathPrefix.size() > Longest->m_PathPrefix.size();
    if (IsLonger)
      Longest = &Known;
  }
  return Longest;
}

std::vector<std::string> listChanges(const DesiredState &Before,
                                     const DesiredState &After) {
  std::vector<std::string> Changes;
  Flat Old = flatten(Before);
  Flat New = flatten(After);
  for (const auto &Value : Old)
    if (!New.count(Value.first))
      Changes.push_back("- " + Value.first + " = " + Value.second);
  for (const auto &Value : New) {
    auto Found = Old.find(Value.first);
    if (Found == Old.end())
      Changes.push_back("+ " + Value.first + " = " + Value.second);
    else if (Found->second != Value.second)
      Changes.push_back("~ " + Value.first + " = " + Found->second + " -> " +
                        Value.second);
  }
  return Changes;
}

} // namespace cyclamenwalk
