#include "policy/types/placement.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

constexpr Resources Capacity{64000, 262144, 0};

PlacementWorker worker(std::uint64_t Id, std::int64_t FreeMilliCores) {
  PlacementWorker Worker;
  Worker.m_Agent = {Id};
  Worker.m_Capacity = Capacity;
  Worker.m_Free = {FreeMilliCores, Capacity.m_MemoryMb, 0};
  Worker.m_MeanRemaining = milliseconds(200);
  return Worker;
}

PlacementJob job(std::uint32_t Tasks) {
  PlacementJob Job;
  Job.m_Tasks = Tasks;
  Job.m_Required = {6000, 64, 0};
  Job.m_ExpectedRunTime = milliseconds(50);
  Job.m_StartWithin = milliseconds(80);
  Job.m_OrderWithin = milliseconds(80);
  return Job;
}

std::ptrdiff_t countOn(const PlacementPlan &Plan, Incarnation Agent) {
  return std::count_if(
      Plan.m_Tasks.begin(), Plan.m_Tasks.end(),
      [Agent](const PlannedTask &Task) { return Task.m_Agent == Agent; });
}

TEST(PlacementTest, ATaskThatFitsDoesNotWait) {
  EXPECT_EQ(forecastWait(worker(1, 6000), job(1)), Duration::zero());
}

TEST(PlacementTest, TheWaitGrowsWithTheTasksAhead) {
  PlacementWorker Full = worker(1, 0);
  Duration EmptyQueueWait = forecastWait(Full, job(1));
  EXPECT_GT(EmptyQueueWait, milliseconds(10));
  Full.m_Waiting = {{milliseconds(20), 12000}};
  EXPECT_GT(forecastWait(Full, job(1)), EmptyQueueWait * 2);
  Full.m_Waiting = {{milliseconds(500), 12000}};
  EXPECT_EQ(forecastWait(Full, job(1)), EmptyQueueWait)
      << "less urgent tasks do not delay it";
}

TEST(PlacementTest, AWideJobIsSpreadOverAllFreeResources) {
  auto Plan =
      placeByEarliestFinish({worker(1, 18000), worker(2, 30000)}, job(8));
  EXPECT_EQ(Plan.m_Tasks.size(), 8u);
  EXPECT_EQ(Plan.m_LongestWait, Duration::zero());
}

TEST(PlacementTest, AFasterWorkerIsPreferredUntilItIsFull) {
  PlacementWorker Slow = worker(1, 64000);
  Slow.m_Slowness = 1.5;
  auto Plan = placeByEarliestFinish({Slow, worker(2, 18000)}, job(4));
  EXPECT_EQ(countOn(Plan, {2}), 3);
}

// At peak load tasks are also placed on workers of a slow kind: the extra run
// time there must reduce the time that a task may wait.
TEST(PlacementTest, ASlowWorkerReducesTheSlack) {
  PlacementWorker Slow = worker(1, 64000);
  Slow.m_Slowness = 1.5;
  PlacementJob Job = job(1);
  Job.m_NominalRunTime = Job.m_ExpectedRunTime;
  auto Plan = placeByEarliestFinish({Slow}, Job);
  EXPECT_EQ(Plan.m_Tasks.front().m_ExtraRunTime, Job.m_ExpectedRunTime / 2);
  EXPECT_EQ(Plan.m_SlackUse, 0) << "the task does not wait";
  Slow.m_Free = {0, Capacity.m_MemoryMb, 0};
  double SlackUseOnSlow = placeByEarliestFinish({Slow}, Job).m_SlackUse;
  Slow.m_Slowness = 1;
  EXPECT_GT(SlackUseOnSlow, placeByEarliestFinish({Slow}, Job).m_SlackUse);
}

TEST(PlacementTest, TheBaselineIgnoresSpeed) {
  PlacementWorker Slow = worker(1, 64000);
  Slow.m_Slowness = 3;
  auto Plan = placeByLeastLoad({Slow, worker(2, 18000)}, job(4));
  EXPECT_EQ(countOn(Plan, {1}), 4);
}

TEST(PlacementTest, AWorkerInTheRackOfTheDataIsPreferred) {
  PlacementWorker Near = worker(1, 12000);
  Near.m_Rack = "r1";
  PlacementWorker Far = worker(2, 64000);
  Far.m_Rack = "r2";
  PlacementJob Job = job(1);
  Job.m_Rack = "r1";
  Job.m_RemotePenalty = 2;
  auto Plan = placeByEarliestFinish({Far, Near}, Job);
  EXPECT_EQ(Plan.m_Tasks.front().m_Agent, Incarnation{1});
}

TEST(PlacementTest, AWorkerThatIsTooSmallIsNotChosen) {
  PlacementJob Job = job(1);
  Job.m_Required = {90000, 64, 0};
  EXPECT_TRUE(placeByEarliestFinish({worker(1, 64000)}, Job).m_Tasks.empty());
}

ObjectiveView view(Duration Wait, std::uint32_t Priority = 0) {
  ObjectiveView View;
  View.m_LongestWait = Wait;
  View.m_StartWithin = milliseconds(80);
  View.m_SlackUse = static_cast<double>(Wait.count()) /
                    static_cast<double>(View.m_StartWithin.count());
  View.m_Remaining = seconds(2);
  View.m_ExpectedRunTime = milliseconds(50);
  View.m_Priority = Priority;
  return View;
}

TEST(ObjectiveAdmissionTest, RefusesJobsThatWouldStartTooLate) {
  EXPECT_TRUE(admitWithinObjective(view(milliseconds(70))));
  EXPECT_FALSE(admitWithinObjective(view(milliseconds(90))));
  EXPECT_TRUE(admitAlways(view(milliseconds(90))));
}

TEST(ObjectiveAdmissionTest, CountsTheExtraRunTimeOfASlowWorker) {
  ObjectiveView Slow = view(milliseconds(40));
  Slow.m_SlackUse = 1.2;
  EXPECT_FALSE(admitWithinObjective(Slow));
}

TEST(ObjectiveAdmissionTest, LowerPrioritiesAreRefusedFirst) {
  EXPECT_TRUE(admitWithinObjective(view(milliseconds(75), 0)));
  EXPECT_FALSE(admitWithinObjective(view(milliseconds(75), 2)));
}

TEST(ObjectiveAdmissionTest,
     JobsThatMayMissTheDeadlineAreAdmittedOnlyWhileWorkersAreIdle) {
  ObjectiveView Long = view(Duration::zero());
  Long.m_ExpectedRunTime = seconds(4);
  Long.m_StartWithin = seconds(3);
  EXPECT_TRUE(admitWithinObjective(Long));
  Long.m_CoreUtilization = 0.9;
  EXPECT_FALSE(admitWithinObjective(Long));
}

// Under lasting overload less waiting must be admitted while starts are late.
TEST(AdaptiveSlackTest, ShrinksWhileStartsAreLateAndRecovers) {
  SlackControl Control = makeAdaptiveSlack();
  double Ratio = 1;
  for (int I = 0; I < 100; ++I)
    Ratio = Control(I % 4 == 0);
  EXPECT_LT(Ratio, 0.6);
  for (int I = 0; I < 1000; ++I)
    Ratio = Control(false);
  EXPECT_DOUBLE_EQ(Ratio, 1.0);
  EXPECT_DOUBLE_EQ(makeFullSlack()(true), 1.0);
}

TEST(WaitingOrderTest, AShortUrgentTaskStartsBeforeALessUrgentOne) {
  EXPECT_LT(orderByStartAndPriority(milliseconds(140), 0),
            orderByStartAndPriority(milliseconds(80), 1));
  EXPECT_GT(orderByStart(milliseconds(140), 0),
            orderByStart(milliseconds(80), 1));
}

} // namespace
