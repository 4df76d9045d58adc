#include "reload/types/reloaddecision.h"

namespace cyclamenwalk {

namespace {

/// Returns the names whose values differ, including those that are in only one
/// of the two.
std::set<std::string> listDifferences(const SettingValues &Left,
                                      const SettingValues &Right) {
  std::set<std::string> Names;
  auto AddNamesThatDiffer = [&Names](const SettingValues &Values,
                                     const SettingValues &Others) {
    for (const auto &Value : Values) {
      auto Other = Others.find(Value.first);
      if (Other == Others.end() || Other->second != Value.second)
        Names.insert(Value.first);
    }
  };
  AddNamesThatDiffer(Left, Right);
  AddNamesThatDiffer(Right, Left);
  return Names;
}

void copyValue(const std::string &Name, const SettingValues &Source,
               SettingValues &Target) {
  auto Value = Source.find(Name);
  if (Value == Source.end())
    Target.erase(Name);
  else
    Target[Name] = Value->second;
}

} // namespace

ReloadDecision decideReload(const SettingValues &InForce,
                            const ParsedSettings &File,
                            const std::set<std::string> &AppliedAtOnce) {
  ReloadDecision Decision;
  Decision.m_InForce = InForce;
  Decision.m_Problems = File.m_Problems;
  if (!Decision.m_Problems.empty())
    return Decision;
  for (const std::string &Name : listDifferences(InForce, File.m_Values)) {
    if (AppliedAtOnce.count(Name) == 0) {
      Decision.m_RestartNeeded.push_back(Name);
      continue;
    }
    Decision.m_Applied.push_back(Name);
    copyValue(Name, File.m_Values, Decision.m_InForce);
  }
  return Decision;
}

} // namespace cyclamenwalk
