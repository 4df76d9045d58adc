#include "core/tests/mocks/manualtimerservice.h"
#include "process/processlifecycle.h"
#include "statechart/chartfolder.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

struct Life {
  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  bool m_IsIdle = false;
  int m_Drains = 0;
  int m_Leaves = 0;
  int m_Stops = 0;
  ProcessLifecycle m_Process{{[this] { ++m_Drains; },
                              [this] { return m_IsIdle; },
                              [this] { ++m_Leaves; }, [this] { ++m_Stops; }},
                             seconds(10),
                             m_Charts,
                             m_Timers};
};

} // namespace

TEST(ProcessLifecycle, drainWaitsForWhatIsInFlight) {
  Life Subject;
  Subject.m_Process.ready();
  EXPECT_TRUE(Subject.m_Process.isServing());
  Subject.m_Process.drain();
  EXPECT_FALSE(Subject.m_Process.isServing());
  Subject.m_Timers.advance(seconds(5));
  EXPECT_EQ(Subject.m_Leaves, 0);
  Subject.m_IsIdle = true;
  Subject.m_Timers.advance(milliseconds(100));
  EXPECT_EQ(Subject.m_Leaves, 1);
  EXPECT_EQ(Subject.m_Stops, 0);
  Subject.m_Timers.advance(seconds(1));
  EXPECT_EQ(Subject.m_Stops, 1);
  EXPECT_STREQ(Subject.m_Process.stateName(), "stopped");
}

TEST(ProcessLifecycle, drainEndsAtItsLimit) {
  Life Subject;
  Subject.m_Process.ready();
  Subject.m_Process.drain();
  Subject.m_Timers.advance(seconds(11));
  EXPECT_EQ(Subject.m_Leaves, 1);
  EXPECT_EQ(Subject.m_Stops, 1);
}

TEST(ProcessLifecycle, secondDrainEndsAtOnce) {
  Life Subject;
  Subject.m_Process.ready();
  Subject.m_Process.drain();
  Subject.m_Process.drain();
  EXPECT_EQ(Subject.m_Stops, 1);
  Subject.m_Timers.advance(seconds(20));
  EXPECT_EQ(Subject.m_Stops, 1);
}
