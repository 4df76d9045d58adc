#include "core/tests/mocks/manualtimerservice.h"
#include "process/processlifecycle.h"
#include "process/settingsfile.h"
#include "statechart/chartfolder.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/stat.h>

using namespace cyclamenwalk;

namespace {

struct LifecycleFixture {
  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  bool m_IsIdle = false;
  int m_DrainCount = 0;
  int m_LeaveCount = 0;
  int m_StopCount = 0;
  ProcessLifecycle m_Lifecycle{
      {[this] { ++m_DrainCount; }, [this] { return m_IsIdle; },
       [this] { ++m_LeaveCount; }, [this] { ++m_StopCount; }},
      seconds(10),
      m_Charts,
      m_Timers};
};

} // namespace

TEST(ProcessLifecycle, drainWaitsForWorkInFlight) {
  LifecycleFixture Fixture;
  Fixture.m_Lifecycle.ready();
  EXPECT_TRUE(Fixture.m_Lifecycle.isServing());
  Fixture.m_Lifecycle.drain();
  EXPECT_FALSE(Fixture.m_Lifecycle.isServing());
  Fixture.m_Timers.advance(seconds(5));
  EXPECT_EQ(Fixture.m_LeaveCount, 0);
  Fixture.m_IsIdle = true;
  Fixture.m_Timers.advance(milliseconds(100));
  EXPECT_EQ(Fixture.m_LeaveCount, 1);
  EXPECT_EQ(Fixture.m_StopCount, 0);
  Fixture.m_Timers.advance(seconds(1));
  EXPECT_EQ(Fixture.m_StopCount, 1);
  EXPECT_STREQ(Fixture.m_Lifecycle.stateName(), "stopped");
}

TEST(ProcessLifecycle, drainEndsAtItsLimit) {
  LifecycleFixture Fixture;
  Fixture.m_Lifecycle.ready();
  Fixture.m_Lifecycle.drain();
  Fixture.m_Timers.advance(seconds(11));
  EXPECT_EQ(Fixture.m_LeaveCount, 1);
  EXPECT_EQ(Fixture.m_StopCount, 1);
}

TEST(ProcessLifecycle, newDrainLimitHoldsForTheNextDrain) {
  LifecycleFixture Fixture;
  Fixture.m_Lifecycle.ready();
  Fixture.m_Lifecycle.setDrainLimit(seconds(2));
  Fixture.m_Lifecycle.drain();
  Fixture.m_Timers.advance(seconds(3));
  EXPECT_EQ(Fixture.m_LeaveCount, 1);
}

TEST(ProcessLifecycle, secondDrainStopsAtOnce) {
  LifecycleFixture Fixture;
  Fixture.m_Lifecycle.ready();
  Fixture.m_Lifecycle.drain();
  Fixture.m_Lifecycle.drain();
  EXPECT_EQ(Fixture.m_StopCount, 1);
  Fixture.m_Timers.advance(seconds(20));
  EXPECT_EQ(Fixture.m_StopCount, 1);
}

TEST(SettingsFile, stampChangesWhenTheFileIsWrittenOrReplaced) {
  std::string Path = testing::TempDir() + "settingsfile.ini";
  std::filesystem::remove(Path);
  SettingsFile File(Path);
  EXPECT_EQ(File.stamp(), std::nullopt);
  EXPECT_EQ(File.read(), std::nullopt);
  std::ofstream(Path) << "a";
  auto First = File.stamp();
  EXPECT_EQ(File.read(), "a");
  EXPECT_EQ(File.stamp(), First);
  std::ofstream(Path, std::ios::app) << "b";
  auto Second = File.stamp();
  EXPECT_NE(Second, First);
  // A file of the same size and time that took the place of this one.
  std::filesystem::copy(Path, Path + ".new",
                        std::filesystem::copy_options::overwrite_existing);
  std::filesystem::last_write_time(Path + ".new",
                                   std::filesystem::last_write_time(Path));
  std::filesystem::rename(Path + ".new", Path);
  EXPECT_NE(File.stamp(), Second);
  std::filesystem::remove(Path);
}

// Guards against a control thread that waits for a writer, or that reads
// without end.
TEST(SettingsFile, otherFilesAreNotRead) {
  std::string Path = testing::TempDir() + "settingsfile.fifo";
  std::filesystem::remove(Path);
  ASSERT_EQ(mkfifo(Path.c_str(), S_IRUSR | S_IWUSR), 0);
  EXPECT_EQ(SettingsFile(Path).read(), std::nullopt);
  std::filesystem::remove(Path);
  std::ofstream(Path).seekp(2 * 1024 * 1024) << "x";
  EXPECT_EQ(SettingsFile(Path).read(), std::nullopt);
  std::filesystem::remove(Path);
}
