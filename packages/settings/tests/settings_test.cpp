#include "settings/desiredstatereader.h"
#include "settings/inireader.h"
#include "settings/limitsettings.h"
#include "settings/processsettings.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

using Problems = std::vector<std::pair<int, ResultCode>>;

/// Returns the line and code of each problem in a configuration.
Problems findProblems(const std::string &Text) {
  Problems Result;
  try {
    readDesiredState(Text, "test.ini");
  } catch (const SettingsError &Thrown) {
    for (const Problem &Issue : Thrown.problems())
      Result.emplace_back(Issue.m_Line, Issue.m_Code);
  }
  return Result;
}

} // namespace

TEST(DesiredStateReader, readsServicesAndTeams) {
  DesiredState State = readDesiredState(R"(; comment
[service gatepost]
slots = 8
long_share = 25%
long_threshold = 1500ms
max_deadline = 5min
[team vending]
weight = 3
quota = 40
services = gatepost
[team empty]
)",
                                        "test.ini");
  const ServiceConfig &Service = State.m_Services.at("gatepost");
  EXPECT_EQ(Service.m_Slots, 8u);
  EXPECT_EQ(Service.m_LongSharePercent, 25u);
  EXPECT_EQ(Service.m_LongThreshold, milliseconds(1500));
  EXPECT_EQ(Service.m_MaxDeadline, seconds(300));
  EXPECT_EQ(Service.m_Connections, 64u);
  EXPECT_EQ(State.m_Teams.at("vending").m_Weight, 3u);
  EXPECT_EQ(State.m_Teams.at("vending").m_Services.count("gatepost"), 1u);
  EXPECT_EQ(State.m_Teams.count("empty"), 1u);
}

TEST(DesiredStateReader, reportsEveryProblemAtOnceWithLineAndCode) {
  EXPECT_EQ(findProblems("[service a]\n"
                         "slots = many\n"
                         "slot = 3\n"
                         "long_threshold = 5\n"
                         "[team t]\n"
                         "services = a, b\n"
                         "[teams x]\n"
                         "y = 1\n"
                         "[team bad_name]\n"),
            (Problems{{2, ResultCode::BadNumber},
                      {3, ResultCode::UnknownKey},
                      {4, ResultCode::BadDuration},
                      {6, ResultCode::DanglingName},
                      {7, ResultCode::UnknownSection},
                      {9, ResultCode::BadName}}));
}

TEST(DesiredStateReader, reportsSyntaxErrorsAndDuplicates) {
  EXPECT_EQ(findProblems("[service a]\nnonsense\n"),
            (Problems{{2, ResultCode::IniSyntax}}));
  EXPECT_EQ(findProblems("[service a]\nslots = 1\nslots = 2\n"),
            (Problems{{3, ResultCode::DuplicateKey}}));
  EXPECT_EQ(findProblems("[service a]\n[service a]\n"),
            (Problems{{2, ResultCode::DuplicateKey}}));
  EXPECT_EQ(findProblems("[service a]\nslots = " + std::string(500, '1') + "\n")
                .at(0),
            (std::pair<int, ResultCode>{2, ResultCode::IniSyntax}));
}

TEST(DesiredStateReader, rejectsDurationsAndNumbersOutOfRange) {
  EXPECT_EQ(findProblems("[service a]\nmax_deadline = 99999999999999999s\n"),
            (Problems{{2, ResultCode::BadDuration}}));
  EXPECT_EQ(findProblems("[service a]\nslots = -1\n"),
            (Problems{{2, ResultCode::BadNumber}}));
  EXPECT_EQ(findProblems("[service a]\ndefault_deadline = 10min\n"),
            (Problems{{2, ResultCode::BadDuration}}));
}

TEST(DesiredStateReader, arbitraryTextIsParsedOrRejected) {
  EXPECT_TRUE(
      rc::check("any text is parsed or reported in a SettingsError", [] {
        auto Text = *rc::gen::container<std::string>(rc::gen::elementOf(
            std::string("[]=;#\n \tservice team a1%s\"\xff")));
        findProblems(Text);
      }));
}

TEST(ProcessSettings, examplesAreValid) {
  for (const char *Name : {"entry-1.ini", "entry-2.ini"})
    EXPECT_NO_THROW(readEntrySettings(std::string(CW_SOURCE_DIR) +
                                      "/examples/demo/" + Name));
  EXPECT_NO_THROW(readAgentSettings(std::string(CW_SOURCE_DIR) +
                                    "/examples/demo/agent-1.ini"));
  for (const char *Name : {"gatepost", "voitelupalvelu"}) {
    std::string File =
        std::string(CW_SOURCE_DIR) + "/examples/" + Name + ".ini";
    EXPECT_NO_THROW(readDesiredState(readFile(File), File));
  }
}

TEST(ProcessSettings, reportsTheNameOfAMissingFile) {
  try {
    readEntrySettings("/nonexistent.ini");
    FAIL();
  } catch (const SettingsError &Thrown) {
    EXPECT_EQ(Thrown.code(), ResultCode::UnreadableFile);
    EXPECT_STREQ(Thrown.what(),
                 "/nonexistent.ini: error 1001: the file cannot be read");
  }
}

/// Guards against limits that contradict each other, or that no process can
/// keep.
TEST(LimitSettings, readsLimitsAndReportsImpossibleOnes) {
  IniReader Reader(parseIni("[limits]\nmemory_mb = 128\nbody_bytes = 262144\n"
                            "header_timeout = 3s\nidle_timeout = 15s\n",
                            "test.ini"));
  LimitSettings Settings = readLimitSettings(Reader);
  Reader.finish();
  EXPECT_EQ(Settings.m_MemoryBytes, 128U * 1024 * 1024);
  EXPECT_EQ(Settings.m_Requests.m_IdleTimeout, seconds(15));
  for (const char *Line :
       {"memory_mb = 1", "body_bytes = 100000000", "header_bytes = 1",
        "idle_timeout = 1s", "header_timeout = 1ms", "descriptors = 100",
        "max_connections = 1", "body_rate = many"}) {
    IniReader Bad(parseIni("[limits]\n" + std::string(Line), "test.ini"));
    readLimitSettings(Bad);
    EXPECT_THROW(Bad.finish(), SettingsError) << Line;
  }
}

TEST(IniReader, validatesAddressesAndNames) {
  EXPECT_TRUE(isAddress("127.0.0.1:80"));
  EXPECT_FALSE(isAddress("127.0.0.1"));
  EXPECT_FALSE(isAddress("localhost:80"));
  EXPECT_FALSE(isAddress("127.0.0.1:0"));
  EXPECT_FALSE(isAddress("127.0.0.1:70000"));
  EXPECT_TRUE(isName("tas-south.1"));
  EXPECT_FALSE(isName("a b"));
  EXPECT_FALSE(isName(""));
}
