#ifndef CYCLAMENWALK_SETTINGS_INIDOCUMENT_H
#define CYCLAMENWALK_SETTINGS_INIDOCUMENT_H

#include "settings/types/problem.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenwalk {

struct IniValue {
  std::string m_Text;
  int m_Line = 0;
};

struct IniSection {
  int m_Line = 0;
  std::map<std::string, IniValue> m_Values;
};

/// The sections and values of an INI text, with their lines.
struct IniDocument {
  std::string m_File;
  std::map<std::string, IniSection> m_Sections;
  /// Bad syntax and repeated names.
  std::vector<Problem> m_Problems;
};

/// Reads \p Text; \p File is used in problems.
IniDocument parseIni(const std::string &Text, const std::string &File);

/// The content of \p File; throws SettingsError when it cannot be read.
std::string readFile(const std::string &File);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_INIDOCUMENT_H
