#include "integration/platformfixture.h"
#include "platform/programs.h"
#include "support/site.h"

#include <csignal>

using namespace cyclamenwalk;

namespace {

constexpr int BasePort = 28400;
constexpr int SitePort = 28600;

/// Changes the settings files of running processes.
class ReloadTest : public PlatformFixture {
protected:
  ReloadTest() : PlatformFixture(BasePort) {}

  std::string settingsPath(const std::string &Process) const {
    return m_Folder + "/" + Process + ".ini";
  }

  std::string readSettings(const std::string &Process) const {
    std::ifstream Stream(settingsPath(Process));
    std::stringstream Text;
    Text << Stream.rdbuf();
    return Text.str();
  }

  void writeSettings(const std::string &Process,
                     const std::string &Text) const {
    std::ofstream(settingsPath(Process)) << Text;
  }

  void waitForLog(const std::string &Process, const std::string &Text) const {
    waitUntil([&] { return readLog(Process).find(Text) != std::string::npos; });
  }

  int countInLog(const std::string &Process, const std::string &Text) const {
    std::string Log = readLog(Process);
    int Count = 0;
    for (auto At = Log.find(Text); At != std::string::npos;
         At = Log.find(Text, At + Text.size()))
      ++Count;
    return Count;
  }

  void expectServing(const std::string &JobName) const {
    EXPECT_TRUE(isReady());
    EXPECT_EQ(submit(JobName, 2, milliseconds(50)).m_Status, 200);
  }
};

} // namespace

// Guards against a signal that ends the process, and against one without an
// effect that the operator can see.
TEST_F(ReloadTest, signalReloadsAtOnceAndAlsoReportsAnUnchangedFile) {
  m_Entry->signal(SIGHUP);
  waitForLog("entry-0", "event=settings.reloaded reload=1 ");
  m_Agents[0]->signal(SIGHUP);
  waitForLog("agent-0", "cause=signal applied=none restart_needed=0");
  // The last section of the entry's file is [bounds].
  writeSettings("entry-0",
                readSettings("entry-0") + "drain_limit = 5s\nlease = 800ms\n");
  m_Entry->signal(SIGHUP);
  waitForLog("entry-0", "event=settings.restart_needed settings=bounds.lease");
  waitForLog("entry-0", "applied=bounds.drain_limit restart_needed=1");
  expectServing("00000000000000e1");
}

TEST_F(ReloadTest, changeWithoutASignalIsApplied) {
  std::string Text = readSettings("entry-0");
  auto End = Text.find('\n', Text.find("name = "));
  writeSettings("entry-0", Text.insert(End, "\nlog_level = error"));
  waitForLog("entry-0", "cause=file applied=process.log_level");
  // This job's lines are of a level that is no longer logged.
  expectServing("00000000000000f1");
  EXPECT_EQ(countInLog("entry-0", "00000000000000f1"), 0);
  EXPECT_EQ(countInLog("entry-0", "event=settings.reloaded"), 1);
}

TEST_F(ReloadTest, brokenFilesAreRejectedAndNamed) {
  std::string Valid = readSettings("entry-0");
  writeSettings("entry-0", Valid + "lease = soon\n");
  waitForLog("entry-0", "event=settings.rejected file=");
  EXPECT_NE(readLog("entry-0").find("code=1007"), std::string::npos);
  expectServing("00000000000000a1");
  writeSettings("entry-0", Valid.substr(0, Valid.find("[entries]")));
  m_Entry->signal(SIGHUP);
  waitForLog("entry-0", "code=1005");
  std::filesystem::remove(settingsPath("entry-0"));
  m_Entry->signal(SIGHUP);
  waitForLog("entry-0", "code=1001");
  expectServing("00000000000000a2");
  EXPECT_EQ(countInLog("entry-0", "event=settings.reloaded"), 0);
}

// Guards against a change to a fraction that is refused, and against one that
// cannot be read and still takes effect.
TEST_F(ReloadTest, fractionIsAppliedAndUnreadableOneChangesNothing) {
  std::string Valid = readSettings("entry-0") + "drain_limit = 4.5s\n";
  writeSettings("entry-0", Valid);
  m_Entry->signal(SIGHUP);
  waitForLog("entry-0", "applied=bounds.drain_limit restart_needed=0");
  writeSettings("entry-0", Valid + "lease = 0,8s\n");
  m_Entry->signal(SIGHUP);
  waitForLog("entry-0", "event=settings.rejected file=");
  EXPECT_NE(readLog("entry-0").find("lease = 0,8s: expected a duration"),
            std::string::npos);
  EXPECT_EQ(countInLog("entry-0", "event=settings.reloaded"), 1);
  expectServing("00000000000000b5");
}

// Guards against a comparison with another version than the operator means.
TEST_F(ReloadTest, configurationIsComparedWithTheVersionInForce) {
  std::string File = m_Folder + "/next.json";
  std::ofstream(File) << R"({"version": 4, "routes": [], "services": []})";
  auto Check = [&](const std::string &Version) {
    return runConfigurationCheck(
        {File, "--against", Version, "--store", address(StoreOffset)});
  };
  testing::internal::CaptureStdout();
  EXPECT_EQ(Check("3"), 0);
  std::string Output = testing::internal::GetCapturedStdout();
  EXPECT_NE(Output.find("- route r max_attempts = 2\n"), std::string::npos);
  EXPECT_EQ(Check("2"), 2);
}

// Guards against a signal that ends an entry or agent that runs without the
// platform.
TEST(SiteReload, signalReloadsTheFile) {
  Site Processes(SitePort, 1, 1);
  Processes.entry(0).signal(SIGHUP);
  Processes.agent(0).signal(SIGHUP);
  for (const char *Name : {"entry-0", "agent-0"})
    EXPECT_TRUE(Site::waitFor([&] {
      return Processes.readLog(Name).find("event=settings.reloaded reload=1") !=
             std::string::npos;
    })) << Name;
  EXPECT_TRUE(Site::waitFor([&] { return Processes.hasWorkers(0, 1); }));
  EXPECT_EQ(Processes.submit(0, {}).m_Code, ResultCode::Ok);
}
