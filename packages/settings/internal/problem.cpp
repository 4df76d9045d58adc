#include "settings/types/problem.h"

namespace cyclamenwalk {

namespace {

std::string join(const std::vector<Problem> &Problems) {
  std::string Lines;
  for (const Problem &Found : Problems)
    Lines += (Lines.empty() ? "" : "\n") + toString(Found);
  return Lines;
}

} // namespace

std::string toString(const Problem &Found) {
  std::string Place = Found.m_File;
  if (Found.m_Line > 0)
    Place += ":" + std::to_string(Found.m_Line);
  return Place + ": error " + std::to_string(static_cast<int>(Found.m_Code)) +
         ": " + Found.m_Detail;
}

SettingsError::SettingsError(std::vector<Problem> Problems)
    : Error(Problems.front().m_Code, join(Problems)),
      m_Problems(std::move(Problems)) {}

} // namespace cyclamenwalk
