#ifndef CYCLAMENWALK_RELOAD_TYPES_SETTINGVALUES_H
#define CYCLAMENWALK_RELOAD_TYPES_SETTINGVALUES_H

#include "core/types/resultcode.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// The texts of the values in a settings file, by "section.key". A setting that
/// is not in the file has its default.
using SettingValues = std::map<std::string, std::string>;

struct SettingProblem {
  /// Zero when the problem concerns no single line.
  int m_Line = 0;
  ResultCode m_Code = ResultCode::IniSyntax;
  std::string m_Detail;
};

/// The content of a settings file, which is valid if it has no problems.
struct ParsedSettings {
  SettingValues m_Values;
  std::vector<SettingProblem> m_Problems;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_RELOAD_TYPES_SETTINGVALUES_H
