#include "settings/types/problem.h"

namespace cyclamenwalk {

namespace {

std::string join(const std::vector<Problem> &Problems) {
  std::string Lines;
  for (const Problem &Issue : Problems)
    Lines += (Lines.empty() ? "" : "\n") + toString(Issue);
  return Lines;
}

} // namespace

std::string toString(const Problem &Issue) {
  std::string Location = Issue.m_File;
  if (Issue.m_Line > 0)
    Location += ":" + std::to_string(Issue.m_Line);
  return Location + ": error " +
         std::to_string(static_cast<int>(Issue.m_Code)) + ": " + Issue.m_Detail;
}

SettingsError::SettingsError(std::vector<Problem> Problems)
    : Error(Problems.front().m_Code, join(Problems)),
      m_Problems(std::move(Problems)) {}

} // namespace cyclamenwalk
