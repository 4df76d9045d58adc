#include "settings/configurationreport.h"
#include "settings/inidocument.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

using namespace cyclamenwalk;
using testing::HasSubstr;

namespace {

ConfigurationReport checkExample(const std::string &Name) {
  std::string Text = readFile(std::string(CW_SOURCE_DIR) + "/examples/" + Name);
  std::optional<DesiredState> State;
  ConfigurationReport Report;
  Report.m_File = Name;
  Report.m_Findings = checkIniConfiguration(Text, Name, {}, State);
  return Report;
}

} // namespace

// Guards against findings without the line at which a person has to look.
TEST(ConfigurationReport, namesLineAndSubjectOfEachFinding) {
  EXPECT_EQ(formatAsText(checkExample("gatepost.ini")),
            "gatepost.ini: 0 errors, 0 warnings\n");
  std::string Syntax = formatAsText(checkExample("broken-syntax.ini"));
  EXPECT_THAT(Syntax, HasSubstr("broken-syntax.ini:4: error 1006: "));
  EXPECT_THAT(Syntax, HasSubstr("broken-syntax.ini:5: error 1007: "));
  EXPECT_THAT(Syntax, HasSubstr("broken-syntax.ini:10: error 1011: "));
  EXPECT_THAT(Syntax, HasSubstr(": 3 errors, 0 warnings\n"));
  std::string Limits = formatAsText(checkExample("broken-limits.ini"));
  EXPECT_THAT(
      Limits,
      HasSubstr("broken-limits.ini:3: warning 1302 in service gatepost: "));
  EXPECT_THAT(
      Limits,
      HasSubstr("broken-limits.ini:9: warning 1303 in service chapel: "));
}

TEST(ConfigurationReport, programsGetTheSameFindingsAsJson) {
  ConfigurationReport Report = checkExample("broken-limits.ini");
  Report.m_Difference = {"version 3", {"~ a = 1 -> 2"}};
  auto Root = nlohmann::json::parse(formatAsJson(Report));
  ASSERT_EQ(Root["findings"].size(), Report.m_Findings.size());
  EXPECT_EQ(Root["findings"][0]["code"], 1302);
  EXPECT_EQ(Root["findings"][0]["severity"], "warning");
  EXPECT_EQ(Root["findings"][0]["subject"], "service gatepost");
  EXPECT_EQ(Root["findings"][0]["line"], 3);
  EXPECT_EQ(Root["difference"]["base"], "version 3");
  EXPECT_EQ(Root["difference"]["changes"].size(), 1U);
  EXPECT_THAT(formatAsText(Report),
              HasSubstr("~ a = 1 -> 2\n1 change to version 3\n"));
}
