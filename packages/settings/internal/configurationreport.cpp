#include "settings/configurationreport.h"

#include "settings/desiredstatereader.h"
#include "settings/inidocument.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr int JsonIndent = 2;

const char *nameOf(Severity Level) {
  return Level == Severity::Error ? "error" : "warning";
}

std::string formatLine(const std::string &File, const Finding &Item) {
  std::string Line = File;
  if (Item.m_Line > 0)
    Line += ":" + std::to_string(Item.m_Line);
  Line += std::string(": ") + nameOf(Item.m_Severity) + " " +
          std::to_string(static_cast<int>(Item.m_Code));
  if (!Item.m_Subject.empty())
    Line += " in " + Item.m_Subject;
  return Line + ": " + Item.m_Text + "\n";
}

std::string formatCount(std::size_t Count, const std::string &Noun) {
  return std::to_string(Count) + " " + Noun + (Count == 1 ? "" : "s");
}

void setLines(const IniDocument &Document, std::vector<Finding> &Findings) {
  for (Finding &Item : Findings) {
    auto Section = Document.m_Sections.find(Item.m_Subject);
    if (Section != Document.m_Sections.end())
      Item.m_Line = Section->second.m_Line;
  }
}

} // namespace

std::vector<Finding> checkIniConfiguration(const std::string &Text,
                                           const std::string &File,
                                           const CheckFacts &Facts,
                                           std::optional<DesiredState> &State) {
  std::vector<Finding> Findings;
  try {
    State = readDesiredState(Text, File);
    Findings = checkConfiguration(*State, Facts);
    setLines(parseIni(Text, File), Findings);
    sortByLine(Findings);
  } catch (const SettingsError &Caught) {
    for (const Problem &Issue : Caught.problems())
      Findings.push_back(
          {Issue.m_Code, Severity::Error, "", Issue.m_Line, Issue.m_Detail});
  }
  return Findings;
}

void sortByLine(std::vector<Finding> &Findings) {
  std::stable_sort(Findings.begin(), Findings.end(),
                   [](const Finding &Left, const Finding &Right) {
                     return Left.m_Line < Right.m_Line;
                   });
}

std::string formatAsText(const ConfigurationReport &Report) {
  std::string Text;
  for (const Finding &Item : Report.m_Findings)
    Text += formatLine(Report.m_File, Item);
  auto Errors = static_cast<std::size_t>(std::count_if(
      Report.m_Findings.begin(), Report.m_Findings.end(),
      [](const Finding &Item) { return Item.m_Severity == Severity::Error; }));
  Text += Report.m_File + ": " + formatCount(Errors, "error") + ", " +
          formatCount(Report.m_Findings.size() - Errors, "warning") + "\n";
  if (!Report.m_Difference)
    return Text;
  for (const std::string &Change : Report.m_Difference->m_Changes)
    Text += Change + "\n";
  return Text + formatCount(Report.m_Difference->m_Changes.size(), "change") +
         " to " + Report.m_Difference->m_Base + "\n";
}

std::string formatAsJson(const ConfigurationReport &Report) {
  Json Findings = Json::array();
  for (const Finding &Item : Report.m_Findings)
    Findings.push_back({{"code", static_cast<int>(Item.m_Code)},
                        {"severity", nameOf(Item.m_Severity)},
                        {"subject", Item.m_Subject},
                        {"line", Item.m_Line},
                        {"text", Item.m_Text}});
  Json Root{{"file", Report.m_File}, {"findings", Findings}};
  if (Report.m_Difference)
    Root["difference"] = {{"base", Report.m_Difference->m_Base},
                          {"changes", Report.m_Difference->m_Changes}};
  return Root.dump(JsonIndent) + "\n";
}

} // namespace cyclamenwalk
