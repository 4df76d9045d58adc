#include "policy/internal/taskqueue.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

const TimePoint Start{seconds(100)};

JobId job(std::uint64_t Number) { return JobId{Incarnation{1}, Number}; }

QueuedJob queuedJob(std::uint64_t Number, const std::string &Team,
                    std::uint32_t Tasks,
                    Duration TaskRunTime = milliseconds(100),
                    bool IsLong = false) {
  return {job(Number), Team, TaskRunTime, IsLong, Tasks};
}

} // namespace

TEST(TaskQueue, shortJobGoesBeforeAnEarlierLargeOne) {
  TaskQueue Queue(orderByRemainingWork);
  Queue.setSlots(8);
  Queue.add(queuedJob(1, "a", 880), Start);
  Queue.add(queuedJob(2, "a", 1), Start + milliseconds(10));
  EXPECT_EQ(Queue.take(true), job(2));
  EXPECT_EQ(Queue.take(true), job(1));
}

TEST(TaskQueue, streamOfShortJobsDoesNotStarveALargeOne) {
  TaskQueue Queue(orderByRemainingWork);
  Queue.setSlots(8);
  Queue.add(queuedJob(1, "a", 80), Start);
  // Job 1 takes 1 s on 8 slots, so a job that arrives 2 s later is behind it.
  Queue.add(queuedJob(2, "a", 1), Start + seconds(2));
  EXPECT_EQ(Queue.take(true), job(1));
}

TEST(TaskQueue, baselineServesJobsInArrivalOrder) {
  TaskQueue Queue(orderByArrival);
  Queue.add(queuedJob(1, "a", 2), Start);
  Queue.add(queuedJob(2, "a", 1), Start + milliseconds(1));
  EXPECT_EQ(Queue.take(true), job(1));
  EXPECT_EQ(Queue.take(true), job(1));
  EXPECT_EQ(Queue.take(true), job(2));
  EXPECT_EQ(Queue.take(true), std::nullopt);
}

TEST(TaskQueue, sharesFollowWeights) {
  TaskQueue Queue(orderByArrival);
  Queue.setTeams({{"a", {3, 0}}, {"b", {1, 0}}});
  Queue.add(queuedJob(1, "a", 1000), Start);
  Queue.add(queuedJob(2, "b", 1000), Start);
  std::map<std::uint64_t, int> Taken;
  for (int I = 0; I < 400; ++I)
    ++Taken[Queue.take(true)->m_Sequence];
  EXPECT_NEAR(Taken[1], 300, 2);
}

TEST(TaskQueue, idleTeamGetsNoAdvantageFromItsIdleTime) {
  TaskQueue Queue(orderByArrival);
  Queue.add(queuedJob(1, "a", 1000), Start);
  for (int I = 0; I < 500; ++I)
    Queue.take(true);
  Queue.add(queuedJob(2, "b", 1000), Start);
  int TakenFromB = 0;
  for (int I = 0; I < 100; ++I)
    TakenFromB += Queue.take(true)->m_Sequence == 2;
  EXPECT_NEAR(TakenFromB, 50, 2);
}

TEST(TaskQueue, quotaLimitsTheRunningTasksOfATeam) {
  TaskQueue Queue(orderByArrival);
  Queue.setTeams({{"a", {1, 2}}});
  Queue.add(queuedJob(1, "a", 5), Start);
  EXPECT_TRUE(Queue.take(true));
  EXPECT_TRUE(Queue.take(true));
  EXPECT_FALSE(Queue.hasTask(true));
  EXPECT_FALSE(Queue.take(true));
  Queue.taskEnded("a");
  EXPECT_TRUE(Queue.take(true));
  Queue.setTeams({{"a", {1, 3}}});
  EXPECT_TRUE(Queue.take(true));
}

TEST(TaskQueue, longTasksAreTakenOnlyIfAllowed) {
  TaskQueue Queue(orderByArrival);
  Queue.add(queuedJob(1, "a", 1, seconds(5), true), Start);
  Queue.add(queuedJob(2, "a", 1), Start + seconds(1));
  EXPECT_EQ(Queue.take(false), job(2));
  EXPECT_EQ(Queue.take(false), std::nullopt);
  EXPECT_EQ(Queue.take(true), job(1));
}

TEST(TaskQueue, taskThatIsPutBackWaitsAgain) {
  TaskQueue Queue(orderByArrival);
  Queue.add(queuedJob(1, "a", 1), Start);
  Queue.take(true);
  EXPECT_EQ(Queue.waiting(), 0u);
  Queue.requeue(job(1));
  EXPECT_EQ(Queue.waiting(), 1u);
  EXPECT_EQ(Queue.take(true), job(1));
  Queue.remove(job(1));
  Queue.requeue(job(1));
  EXPECT_EQ(Queue.waiting(), 0u);
}

TEST(TaskQueue, workAheadSumsSmallerJobsOfTheTeamAndSharesOfOtherTeams) {
  TaskQueue Queue(orderByRemainingWork);
  Queue.add(queuedJob(1, "a", 880), Start);
  Queue.add(queuedJob(2, "b", 10), Start);
  EXPECT_EQ(Queue.workAhead("c", seconds(1)), Duration::zero());
  EXPECT_EQ(Queue.workAhead("a", milliseconds(100)), Duration::zero());
  // 1 s of work of its own team, and as much of the team of equal weight.
  EXPECT_EQ(Queue.workAhead("b", seconds(1)), seconds(2));
  EXPECT_EQ(Queue.workAhead("a", seconds(1000)), seconds(89));
}

// Random sequences of add, take, requeue and taskEnded against a model: each
// task is taken at most once, no quota is exceeded, and waiting() is exact.
TEST(TaskQueue, agreesWithAReferenceModel) {
  EXPECT_TRUE(rc::check("model", [] {
    TaskQueue Queue(orderByRemainingWork);
    const std::uint32_t Quota = 3;
    Queue.setTeams({{"a", {1, Quota}}, {"b", {2, 0}}});
    std::map<std::uint64_t, std::uint32_t> Waiting;
    std::vector<std::uint64_t> Taken;
    std::uint64_t LastJob = 0;
    auto RunningInTeamA = [&Taken] {
      return std::count_if(Taken.begin(), Taken.end(),
                           [](auto Number) { return Number % 2 == 0; });
    };
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    for (int Step : Steps) {
      if (Step < 2) {
        ++LastJob;
        Waiting[LastJob] = Step + 2;
        Queue.add(queuedJob(LastJob, LastJob % 2 ? "b" : "a", Step + 2), Start);
      } else if (Step < 5) {
        auto Job = Queue.take(true);
        if (!Job)
          continue;
        RC_ASSERT(Waiting[Job->m_Sequence]-- > 0u);
        Taken.push_back(Job->m_Sequence);
        RC_ASSERT(RunningInTeamA() <= Quota);
      } else if (Step == 5 && !Taken.empty()) {
        ++Waiting[Taken.back()];
        Queue.requeue(job(Taken.back()));
        Taken.pop_back();
      } else if (Step == 6 && !Taken.empty()) {
        Queue.taskEnded(Taken.back() % 2 ? "b" : "a");
        Taken.pop_back();
      }
      std::uint32_t TotalWaiting = 0;
      for (const auto &Item : Waiting)
        TotalWaiting += Item.second;
      RC_ASSERT(Queue.waiting() == TotalWaiting);
    }
  }));
}
