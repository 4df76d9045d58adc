#include "cli/cliprogram.h"
#include "core/types/resultcode.h"

#include <fstream>
#include <gmock/gmock.h>
#include <sstream>

using namespace cyclamenwalk;
using testing::HasSubstr;

namespace {

/// Runs one command line and captures its output.
struct CliRun {
  explicit CliRun(const std::vector<std::string> &Arguments) {
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    m_Status = runCli(Arguments, StoreFactory());
    m_Out = testing::internal::GetCapturedStdout();
    m_Err = testing::internal::GetCapturedStderr();
  }

  ExitStatus m_Status;
  std::string m_Out;
  std::string m_Err;
};

std::string examplePath(const std::string &Name) {
  return std::string(CW_SOURCE_DIR) + "/examples/" + Name;
}

} // namespace

TEST(Cli, rejectsInvalidCommandLines) {
  EXPECT_EQ(CliRun({}).m_Status, ExitStatus::Usage);
  EXPECT_EQ(CliRun({"unknown"}).m_Status, ExitStatus::Usage);
  CliRun Missing({"check"});
  EXPECT_EQ(Missing.m_Status, ExitStatus::Usage);
  EXPECT_THAT(Missing.m_Err, HasSubstr("error 1201"));
  EXPECT_EQ(CliRun({"check", "--unknown", "x"}).m_Status, ExitStatus::Usage);
}

TEST(Cli, printsHelpAndVersion) {
  EXPECT_THAT(CliRun({"--help"}).m_Out, HasSubstr("apply"));
  EXPECT_THAT(CliRun({"--version"}).m_Out, HasSubstr("cyclamenwalk 0."));
  CliRun Help({"apply", "--help"});
  EXPECT_EQ(Help.m_Status, ExitStatus::Ok);
  EXPECT_THAT(Help.m_Out, HasSubstr("--base"));
}

TEST(Cli, checkReportsEveryProblem) {
  EXPECT_EQ(CliRun({"check", examplePath("gatepost.ini")}).m_Status,
            ExitStatus::Ok);
  std::string File = testing::TempDir() + "bad.ini";
  std::ofstream(File) << "[service a]\nslots = x\nfoo = 1\n";
  CliRun Bad({"check", File});
  EXPECT_EQ(Bad.m_Status, ExitStatus::Invalid);
  EXPECT_THAT(Bad.m_Err, HasSubstr(File + ":2: error 1006"));
  EXPECT_THAT(Bad.m_Err, HasSubstr(File + ":3: error 1004"));
}

TEST(Cli, configCheckTellsFindingsFromFilesThatItCannotCheck) {
  std::string Valid = examplePath("gatepost.ini");
  EXPECT_EQ(static_cast<int>(CliRun({"config", "check", Valid}).m_Status), 0);
  CliRun Broken({"config", "check", examplePath("broken-limits.ini")});
  EXPECT_EQ(static_cast<int>(Broken.m_Status), 1);
  EXPECT_THAT(Broken.m_Out, HasSubstr("warning 1302 in service gatepost"));
  EXPECT_EQ(static_cast<int>(CliRun({"config", "check", "/none"}).m_Status), 2);
  // The version in force is needed for the comparison.
  CliRun Unreachable(
      {"config", "check", Valid, "--against", "3", "--entry", "127.0.0.1:1"});
  EXPECT_EQ(static_cast<int>(Unreachable.m_Status), 2);
  EXPECT_EQ(CliRun({"config", "chec", Valid}).m_Status, ExitStatus::Usage);
}

TEST(Cli, configCheckComparesWithAnotherFile) {
  CliRun Compared({"config", "check", examplePath("gatepost.ini"), "--against",
                   examplePath("voitelupalvelu.ini"), "--json"});
  EXPECT_EQ(Compared.m_Status, ExitStatus::Ok);
  EXPECT_THAT(Compared.m_Out, HasSubstr("+ team vending weight = 4"));
}

TEST(Cli, reportsUnreachableEntry) {
  CliRun Status({"status", "--entry", "127.0.0.1:1"});
  EXPECT_EQ(Status.m_Status, ExitStatus::Unreachable);
  EXPECT_THAT(Status.m_Err, HasSubstr("error 1202"));
}

TEST(Cli, codesMatchDocumentation) {
  std::ifstream Stream(std::string(CW_SOURCE_DIR) + "/docs/ERRORS.md");
  std::stringstream Page;
  Page << Stream.rdbuf();
  EXPECT_THAT(Page.str(), HasSubstr(CliRun({"codes"}).m_Out));
}
