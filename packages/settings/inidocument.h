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

/// The sections and values of an INI file, with their line numbers.
struct IniDocument {
  std::string m_File;
  std::map<std::string, IniSection> m_Sections;
  /// Syntax errors and duplicate sections and keys.
  std::vector<Problem> m_Problems;
};

/// Parses \p Text; \p File is the file name given in problems.
IniDocument parseIni(const std::string &Text, const std::string &File);

/// Returns the texts of all values by "section.key".
std::map<std::string, std::string> listValues(const IniDocument &Document);

/// Returns the content of \p File; throws SettingsError when it cannot be read.
std::string readFile(const std::string &File);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_INIDOCUMENT_H
