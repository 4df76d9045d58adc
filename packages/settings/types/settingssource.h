#ifndef CYCLAMENWALK_SETTINGS_TYPES_SETTINGSSOURCE_H
#define CYCLAMENWALK_SETTINGS_TYPES_SETTINGSSOURCE_H

#include <string>

namespace cyclamenwalk {

/// The file that the settings of a process were read from.
struct SettingsSource {
  std::string m_Path;
  /// The content at the time of reading.
  std::string m_Text;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_TYPES_SETTINGSSOURCE_H
