#include "worker/internal/slowness.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

constexpr Duration Expected = milliseconds(100);
constexpr std::size_t RunCount = 10;
const TimePoint Now{seconds(1000)};

std::vector<RunPointer> runsStartedBefore(const std::vector<Duration> &Ages) {
  auto Job = std::make_shared<PlacedJob>();
  Job->m_ExpectedRunTime = Expected;
  std::vector<RunPointer> Runs;
  for (Duration Age : Ages) {
    Runs.push_back(std::make_shared<Run>());
    Runs.back()->m_State = RunState::Running;
    Runs.back()->m_Job = Job;
    Runs.back()->m_StartedAt = Now - Age;
  }
  return Runs;
}

Slowness afterEnds(bool SeparatesTails, const std::vector<Duration> &RunTimes) {
  Slowness Estimate(SeparatesTails);
  for (Duration RunTime : RunTimes)
    Estimate.recordSuccess(*runsStartedBefore({RunTime}).front(), RunTime);
  return Estimate;
}

/// Guards against a server that loses its work because one of its runs is a
/// tail, in progress or ended.
TEST(SlownessTest, OneTailDoesNotMakeAServerSlow) {
  std::vector<Duration> Ages(RunCount, milliseconds(50));
  Ages.front() = Expected * 7;
  std::vector<Duration> RunTimes(RunCount, Expected);
  RunTimes.back() = Expected * 7;
  Slowness Separate = afterEnds(true, RunTimes);
  EXPECT_LT(Separate.current(runsStartedBefore(Ages), Now), 1.1);
  Slowness Mean = afterEnds(false, RunTimes);
  EXPECT_GT(Mean.current(runsStartedBefore(Ages), Now), 1.7);
}

/// Guards against a server that keeps getting work after it has become slow:
/// its runs need not end first.
TEST(SlownessTest, ManyOverdueRunsMakeAServerSlow) {
  Slowness Estimate = afterEnds(true, std::vector<Duration>(30, Expected));
  std::vector<Duration> Ages(RunCount, Expected * 3);
  EXPECT_NEAR(Estimate.current(runsStartedBefore(Ages), Now), 3, 0.1);
  EXPECT_NEAR(Estimate.mean(), 1, 0.1);
}

/// Guards against a change of the estimates of deployments that don't separate
/// tails: a running mean, averaged with the overdue runs.
TEST(SlownessTest, RunningMeanIncludesTails) {
  Slowness Estimate = afterEnds(false, {Expected * 2});
  EXPECT_NEAR(Estimate.mean(), 1.08, 1e-9);
  std::vector<Duration> Ages(RunCount, Expected * 3);
  EXPECT_NEAR(Estimate.current(runsStartedBefore(Ages), Now), 2.04, 1e-9);
}

} // namespace
