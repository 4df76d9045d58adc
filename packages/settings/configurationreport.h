#ifndef CYCLAMENWALK_SETTINGS_CONFIGURATIONREPORT_H
#define CYCLAMENWALK_SETTINGS_CONFIGURATIONREPORT_H

#include "configuration/configurationcheck.h"

#include <optional>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// How a configuration differs from another one.
struct ConfigurationDifference {
  /// Names the other configuration.
  std::string m_Base;
  std::vector<std::string> m_Changes;
};

/// The result of the check of one configuration file.
struct ConfigurationReport {
  std::string m_File;
  std::vector<Finding> m_Findings;
  /// Empty unless the file was compared with another configuration.
  std::optional<ConfigurationDifference> m_Difference;
};

/// Checks the INI text of a configuration. Sets \p State if it can be read.
std::vector<Finding> checkIniConfiguration(const std::string &Text,
                                           const std::string &File,
                                           const CheckFacts &Facts,
                                           std::optional<DesiredState> &State);

/// Puts findings in the order of their lines.
void sortByLine(std::vector<Finding> &Findings);

/// One line for each finding and change, for people.
std::string formatAsText(const ConfigurationReport &Report);

/// A JSON object, for programs.
std::string formatAsJson(const ConfigurationReport &Report);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_CONFIGURATIONREPORT_H
