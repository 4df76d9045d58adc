#include "core/tests/mocks/manualtimerservice.h"
#include "process/processlifecycle.h"
#include "statechart/chartfolder.h"

#include <gtest/gtest.h>

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

TEST(ProcessLifecycle, secondDrainStopsAtOnce) {
  LifecycleFixture Fixture;
  Fixture.m_Lifecycle.ready();
  Fixture.m_Lifecycle.drain();
  Fixture.m_Lifecycle.drain();
  EXPECT_EQ(Fixture.m_StopCount, 1);
  Fixture.m_Timers.advance(seconds(20));
  EXPECT_EQ(Fixture.m_StopCount, 1);
}
