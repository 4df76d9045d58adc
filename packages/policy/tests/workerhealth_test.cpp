#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "policy/internal/workerhealth.h"
#include "statechart/chartfolder.h"

#include <gtest/gtest.h>
#include <map>
#include <random>

using namespace cyclamenwalk;

namespace {

class WorkerHealthTest : public testing::Test {
protected:
  WorkerHealthTest() {
    m_Health.onLimitChanged([this](Incarnation Worker, std::uint32_t Limit) {
      m_Limits[Worker.m_Value] = Limit;
    });
    for (std::uint64_t I = 1; I <= WorkerCount; ++I)
      m_Health.add(Incarnation{I}, "s");
  }

  void fail(std::uint64_t Worker, int Times) {
    for (int I = 0; I < Times; ++I)
      m_Health.record(Incarnation{Worker}, true);
  }

  void succeed(std::uint64_t Worker, int Times) {
    for (int I = 0; I < Times; ++I)
      m_Health.record(Incarnation{Worker}, false);
  }

  static constexpr std::uint64_t WorkerCount = 11;

  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  std::map<std::uint64_t, std::uint32_t> m_Limits;
  WorkerHealth m_Health{makeSequentialTest, m_Charts, m_Timers, m_Metrics};
};

} // namespace

TEST_F(WorkerHealthTest, ejectsAWorkerThatFailsAllTasksAfterFive) {
  fail(1, 3);
  EXPECT_EQ(m_Limits.count(1), 0u);
  fail(1, 2);
  EXPECT_EQ(m_Limits[1], 0u);
  EXPECT_EQ(m_Health.limitedWorkers(), 1u);
}

TEST_F(WorkerHealthTest, readmitsAWorkerByProbesAndAGrowingLimit) {
  fail(1, 5);
  m_Timers.advance(seconds(5));
  EXPECT_EQ(m_Limits[1], 1u);
  succeed(1, 3);
  EXPECT_EQ(m_Limits[1], 2u);
  succeed(1, 3);
  EXPECT_EQ(m_Limits[1], IWorkerHealth::NoLimit);
  EXPECT_EQ(m_Health.limitedWorkers(), 0u);
}

TEST_F(WorkerHealthTest, failedProbeDoublesThePause) {
  fail(1, 5);
  m_Timers.advance(seconds(5));
  fail(1, 1);
  EXPECT_EQ(m_Limits[1], 0u);
  m_Timers.advance(seconds(9));
  EXPECT_EQ(m_Limits[1], 0u);
  m_Timers.advance(seconds(1));
  EXPECT_EQ(m_Limits[1], 1u);
}

TEST_F(WorkerHealthTest, ejectsAtMostThirtyPercentOfTheWorkers) {
  for (std::uint64_t I = 1; I <= WorkerCount; ++I)
    fail(I, 20);
  EXPECT_EQ(m_Health.limitedWorkers(), 3u);
}

TEST_F(WorkerHealthTest, failureRateCommonToAllWorkersEjectsNone) {
  std::mt19937 Random(1);
  std::bernoulli_distribution HasFailed(0.2);
  for (int I = 0; I < 20000; ++I)
    m_Health.record(Incarnation{1 + Random() % WorkerCount}, HasFailed(Random));
  EXPECT_EQ(m_Metrics.of(Metric::WorkersEjected), 0u);
}

TEST_F(WorkerHealthTest, removedWorkerLeavesNoTimer) {
  fail(1, 5);
  m_Health.remove(Incarnation{1});
  m_Timers.advance(seconds(60));
  EXPECT_EQ(m_Health.limitedWorkers(), 0u);
}
