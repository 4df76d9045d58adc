#ifndef CYCLAMENWALK_SETTINGS_TYPES_PROBLEM_H
#define CYCLAMENWALK_SETTINGS_TYPES_PROBLEM_H

#include "core/error.h"

#include <string>
#include <vector>

namespace cyclamenwalk {

/// An error found in a file.
struct Problem {
  std::string m_File;
  /// Counted from 1; zero when the problem concerns no single line.
  int m_Line = 0;
  ResultCode m_Code = ResultCode::IniSyntax;
  std::string m_Detail;
};

/// Formats the problem as "file:line: error 1004: detail".
std::string toString(const Problem &Issue);

/// Reports all problems of a file at once.
class SettingsError : public Error {
public:
  explicit SettingsError(std::vector<Problem> Problems);

  const std::vector<Problem> &problems() const { return m_Problems; }

private:
  std::vector<Problem> m_Problems;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_TYPES_PROBLEM_H
