#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "reload/settingsreload.h"
#include "reload/tests/mocks/settingsfilefake.h"
#include "statechart/chartfolder.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

/// Reads one value per line; a line without '=' is a problem.
ParsedSettings parseLines(const std::string &Text) {
  ParsedSettings Parsed;
  std::istringstream Stream(Text);
  std::string Line;
  for (int Number = 1; std::getline(Stream, Line); ++Number) {
    auto Equals = Line.find('=');
    if (Equals == std::string::npos)
      Parsed.m_Problems.push_back({Number, ResultCode::IniSyntax, Line});
    else
      Parsed.m_Values[Line.substr(0, Equals)] = Line.substr(Equals + 1);
  }
  return Parsed;
}

struct ReloadFixture {
  ReloadFixture() {
    m_Reload.applyAtOnce({"a.x", "a.y"}, [this] { ++m_Applied; });
    m_Reload.start();
  }

  /// Longer than a modified file needs to be noticed and to settle.
  void waitForChecks() { m_Timers.advance(seconds(10)); }

  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  SettingsFileFake m_File{"a.x=1\nb.z=1\n"};
  int m_Parsed = 0;
  SettingsReload m_Reload{"a.x=1\nb.z=1\n",
                          {[this](const std::string &Text) {
                             ++m_Parsed;
                             return parseLines(Text);
                           },
                           [](const std::string &) { return "digest"; }},
                          m_File,
                          m_Charts,
                          m_Timers,
                          m_Metrics};
  int m_Applied = 0;
};

} // namespace

TEST(SettingsReload, appliesAModifiedFileOnce) {
  ReloadFixture Fixture;
  Fixture.m_File.write("a.x=2\na.y=5\nb.z=2\n");
  Fixture.waitForChecks();
  EXPECT_EQ(Fixture.m_Applied, 1);
  EXPECT_EQ(Fixture.m_Reload.reloads(), 1U);
  EXPECT_EQ(Fixture.m_Reload.restartNeeded(), 1U);
  EXPECT_EQ(Fixture.m_Metrics.of(Metric::SettingsReloaded), 1U);
  // Taking the change back means that no restart is needed any more.
  Fixture.m_File.write("a.x=2\na.y=5\nb.z=1\n");
  Fixture.waitForChecks();
  EXPECT_EQ(Fixture.m_Applied, 1);
  EXPECT_EQ(Fixture.m_Reload.restartNeeded(), 0U);
}

// Guards against a log line for each check of a file that is written again with
// the same text.
TEST(SettingsReload, unchangedTextIsReportedOnlyOnRequest) {
  ReloadFixture Fixture;
  Fixture.waitForChecks();
  Fixture.m_File.write("a.x=1\nb.z=1\n");
  Fixture.waitForChecks();
  EXPECT_EQ(Fixture.m_Reload.reloads(), 0U);
  Fixture.m_Reload.requestReload();
  EXPECT_EQ(Fixture.m_Reload.reloads(), 1U);
  EXPECT_EQ(Fixture.m_Applied, 0);
}

// Guards against applying the valid beginning of a file that is being written.
TEST(SettingsReload, fileIsNotReadWhileItIsWritten) {
  ReloadFixture Fixture;
  Fixture.waitForChecks();
  int ParsedBefore = Fixture.m_Parsed;
  for (int I = 0; I < 5; ++I) {
    Fixture.m_File.write("a.x=" + std::to_string(I) + "\n");
    Fixture.m_Timers.advance(seconds(2));
  }
  EXPECT_EQ(Fixture.m_Parsed, ParsedBefore);
  Fixture.m_File.write("a.x=7\nb.z=1\n");
  Fixture.waitForChecks();
  EXPECT_EQ(Fixture.m_Reload.reloads(), 1U);
  EXPECT_EQ(Fixture.m_Applied, 1);
  EXPECT_EQ(Fixture.m_Reload.restartNeeded(), 0U);
}

TEST(SettingsReload, fileThatIsWrittenDuringAReadIsReadAgain) {
  ReloadFixture Fixture;
  int Reads = 0;
  Fixture.m_File.m_OnRead = [&] {
    if (++Reads == 1)
      Fixture.m_File.write("a.x=3\nb.z=1\n");
  };
  Fixture.m_File.write("a.x=2\n");
  Fixture.m_Reload.requestReload();
  EXPECT_EQ(Fixture.m_Reload.reloads(), 0U);
  Fixture.waitForChecks();
  EXPECT_EQ(Fixture.m_Reload.reloads(), 1U);
  EXPECT_EQ(Fixture.m_Applied, 1);
  EXPECT_EQ(Fixture.m_Reload.restartNeeded(), 0U);
}

TEST(SettingsReload, rejectedFileChangesNothingAndIsReportedOnce) {
  ReloadFixture Fixture;
  Fixture.m_File.write("a.x=2\nbroken\n");
  Fixture.waitForChecks();
  Fixture.waitForChecks();
  EXPECT_EQ(Fixture.m_Metrics.of(Metric::SettingsRejected), 1U);
  Fixture.m_Reload.requestReload();
  EXPECT_EQ(Fixture.m_Metrics.of(Metric::SettingsRejected), 2U);
  Fixture.m_File.remove();
  Fixture.waitForChecks();
  EXPECT_EQ(Fixture.m_Metrics.of(Metric::SettingsRejected), 3U);
  EXPECT_EQ(Fixture.m_Applied, 0);
  // The operator learns that the file is valid again.
  Fixture.m_File.write("a.x=1\nb.z=1\n");
  Fixture.waitForChecks();
  EXPECT_EQ(Fixture.m_Reload.reloads(), 1U);
  EXPECT_EQ(Fixture.m_Applied, 0);
}
