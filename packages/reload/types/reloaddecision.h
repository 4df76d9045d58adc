#ifndef CYCLAMENWALK_RELOAD_TYPES_RELOADDECISION_H
#define CYCLAMENWALK_RELOAD_TYPES_RELOADDECISION_H

#include "reload/types/settingvalues.h"

#include <set>

namespace cyclamenwalk {

/// What a process does with a settings file that has changed.
struct ReloadDecision {
  /// The names of the settings whose new values are applied now.
  std::vector<std::string> m_Applied;
  /// The names of the settings that keep their values until a restart.
  std::vector<std::string> m_RestartNeeded;
  /// If there are any, nothing is applied.
  std::vector<SettingProblem> m_Problems;
  /// The values in force afterwards.
  SettingValues m_InForce;
};

/// Compares the values \p InForce with those of a file. All settings that are
/// not in \p AppliedAtOnce need a restart.
ReloadDecision decideReload(const SettingValues &InForce,
                            const ParsedSettings &File,
                            const std::set<std::string> &AppliedAtOnce);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_RELOAD_TYPES_RELOADDECISION_H
