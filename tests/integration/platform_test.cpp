#include "integration/platformfixture.h"

#include <csignal>
#include <future>

using namespace cyclamenwalk;

namespace {

constexpr int BasePort = 22400;

class PlatformTest : public PlatformFixture {
protected:
  PlatformTest() : PlatformFixture(BasePort) {}
};

} // namespace

TEST_F(PlatformTest, completesAJobAndRejectsUnknownRoutes) {
  HttpResponse Answer = submit("00000000000000a1", 8, milliseconds(80));
  EXPECT_EQ(Answer.m_Status, 200);
  EXPECT_EQ(Answer.m_Body, R"({"state":"completed"})");
  EXPECT_EQ(m_Observer.starts(), 8);
  HttpRequest UnknownRoute;
  UnknownRoute.m_Url = "http://" + address(0) + "/other/";
  EXPECT_EQ(sendHttpRequest(UnknownRoute, seconds(2)).m_Status, 404);
}

TEST_F(PlatformTest, killedAgentFailsItsJobsWithoutOverlappingRuns) {
  auto FirstResponse = std::async(std::launch::async, [this] {
    return submit("00000000000000b1", 20, seconds(6));
  });
  waitUntil([this] { return m_Observer.starts() == 20; });
  m_Agents[0]->signal(SIGKILL);
  EXPECT_EQ(FirstResponse.get().m_Status, 502);
  // The job is sent again after all leases have expired.
  std::this_thread::sleep_for(milliseconds(1300));
  m_Agents[0] = startProgram("agent", 0);
  EXPECT_EQ(submit("00000000000000b1", 6, milliseconds(50)).m_Status, 200);
  EXPECT_EQ(m_Observer.overlaps(), 0);
}

TEST_F(PlatformTest, pausedEntryLosesItsRunsAndRecovers) {
  auto FirstResponse = std::async(std::launch::async, [this] {
    return submit("00000000000000c1", 4, seconds(6));
  });
  waitUntil([this] { return m_Observer.starts() == 4; });
  m_Entry->signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(1500));
  m_Entry->signal(SIGCONT);
  EXPECT_NE(FirstResponse.get().m_Status, 200);
  waitUntil([this] {
    return submit("00000000000000c2", 2, milliseconds(50)).m_Status == 200;
  });
  EXPECT_EQ(m_Observer.overlaps(), 0);
}

TEST_F(PlatformTest, stoppedEntryAnswersAcceptedJobs) {
  auto FirstResponse = std::async(std::launch::async, [this] {
    return submit("00000000000000d1", 4, seconds(1));
  });
  waitUntil([this] { return m_Observer.starts() == 4; });
  m_Entry->signal(SIGTERM);
  EXPECT_EQ(FirstResponse.get().m_Status, 200);
  EXPECT_EQ(m_Entry->wait(seconds(6)), 0);
}

/// The domain of one agent is evacuated and taken back, while the other agent
/// serves. The agent restarts meanwhile and learns of it again.
TEST_F(PlatformTest, evacuatedDomainStartsNothingUntilItIsWithdrawn) {
  auto KnowsChange = [this] {
    return readLog("agent-0").find("evacuation.changed") != std::string::npos;
  };
  ASSERT_TRUE(requestEvacuation("z0"));
  waitUntil(KnowsChange);
  double Before = startsOfAgent(0);
  EXPECT_EQ(submit("00000000000000e1", 8, milliseconds(50)).m_Status, 200);
  EXPECT_EQ(startsOfAgent(0), Before);
  m_Agents[0]->signal(SIGKILL);
  m_Agents[0] = startProgram("agent", 0);
  waitUntil(KnowsChange);
  EXPECT_EQ(submit("00000000000000e2", 8, milliseconds(50)).m_Status, 200);
  EXPECT_EQ(startsOfAgent(0), 0);
  ASSERT_TRUE(withdrawEvacuation("z0"));
  waitUntil([this] {
    submit("00000000000000e3", 40, milliseconds(20));
    return startsOfAgent(0) > 0;
  });
}
