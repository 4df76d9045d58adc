#include "policy/types/lookahead.h"
#include "policy/types/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

constexpr Resources Capacity{32000, 1024, 2};

std::vector<ExpectedEnd> drawEnds() {
  auto Count = *rc::gen::inRange<std::size_t>(0, 30);
  std::vector<ExpectedEnd> Ends;
  for (std::size_t I = 0; I < Count; ++I)
    Ends.push_back({microseconds(*rc::gen::inRange(0, 900'000)),
                    {*rc::gen::inRange<std::int64_t>(1, 8000), 8, 0}});
  return Ends;
}

std::int64_t sumOf(const std::vector<ExpectedEnd> &Ends, Duration Within) {
  return freeWithin({Capacity, {}, Ends, {}}, Within).m_MilliCores;
}

} // namespace

/// Guards against resources held for runs that take seven times as long as
/// expected: the longer a run is overdue, the later its end is expected.
TEST(LookAhead, anOverdueRunIsNotExpectedSoon) {
  RunEstimate Run{milliseconds(100), milliseconds(40), 0, {}};
  EXPECT_EQ(expectedRemaining(Run), milliseconds(60));
  Duration Last{};
  for (int Elapsed = 100; Elapsed <= 700; Elapsed += 100) {
    Run.m_Elapsed = milliseconds(Elapsed);
    EXPECT_GT(expectedRemaining(Run), Last);
    Last = expectedRemaining(Run);
  }
  EXPECT_GT(Last, milliseconds(500));
  Run.m_ProgressPercent = 70;
  Run.m_ElapsedAtProgress = milliseconds(700);
  EXPECT_EQ(expectedRemaining(Run), milliseconds(300)) << "by its progress";
}

/// Guards against forecasts that promise more than the runs in progress free.
TEST(LookAhead, mergedEndsAreFewAndNeverTooEarly) {
  EXPECT_TRUE(rc::check("merging is conservative", [] {
    auto Ends = drawEnds();
    auto Merged = mergeEnds(Ends);
    RC_ASSERT(Merged.size() <= MaxReportedEnds);
    for (const ExpectedEnd &Step : Merged)
      RC_ASSERT(sumOf(Merged, Step.m_Within) <= sumOf(Ends, Step.m_Within));
    RC_ASSERT(sumOf(Merged, seconds(1)) <= sumOf(Ends, seconds(1)));
  }));
}

TEST(LookAhead, moreWorkAheadNeverShortensTheWaitWithoutBackfill) {
  EXPECT_TRUE(rc::check("the wait grows with the work ahead", [] {
    auto Ends = mergeEnds(drawEnds());
    ResourceForecast Forecast{Capacity, {}, Ends, milliseconds(100)};
    ResourceDemand Demand{{2000, 8, 0}, seconds(2)};
    auto Cores = *rc::gen::inRange<std::int64_t>(1, 30'000);
    Duration Behind = forecastWaitByEnds(Forecast, Demand, {Cores, {Cores}});
    RC_ASSERT(Behind >= forecastWaitByEnds(Forecast, Demand, {}));
  }));
}

/// Guards against the mean standing in for a known end: an end in 10 ms serves
/// a job, a later one does not, and an end that was due counts as happened.
TEST(LookAhead, waitsForTheEndThatFreesEnough) {
  std::vector<ExpectedEnd> Ends{{milliseconds(10), {4000, 0, 0}},
                                {milliseconds(90), {8000, 0, 0}}};
  ResourceDemand Small{{4000, 0, 0}, milliseconds(50)};
  ResourceDemand Large{{12000, 0, 0}, milliseconds(50)};
  EXPECT_EQ(forecastWaitByEnds({Capacity, {}, Ends, {}}, Small, {}),
            milliseconds(10));
  EXPECT_EQ(forecastWaitByEnds({Capacity, {}, Ends, {}}, Large, {}),
            milliseconds(90));
  advanceEnds(Ends, milliseconds(30));
  EXPECT_EQ(forecastWaitByEnds({Capacity, {}, Ends, {}}, Small, {}),
            Duration::zero());
  EXPECT_EQ(forecastWaitByEnds({Capacity, {}, Ends, {}}, Large, {}),
            milliseconds(60));
}

/// All resources count: a task whose cores fit waits for memory and GPUs.
TEST(LookAhead, backfillsOnlyWhatDoesNotDelayTheReservation) {
  std::vector<ExpectedEnd> Ends{{milliseconds(60), {10000, 100, 1}}};
  ResourceForecast Forecast{Capacity, {6000, 100, 0}, Ends, milliseconds(60)};
  Resources Reserved{12000, 150, 1};
  EXPECT_TRUE(canBackfill(Forecast, {{6000, 50, 0}, milliseconds(40)}, Reserved,
                          milliseconds(60)))
      << "ends before";
  EXPECT_TRUE(canBackfill(Forecast, {{4000, 50, 0}, seconds(1)}, Reserved,
                          milliseconds(60)))
      << "fits beside";
  EXPECT_FALSE(canBackfill(Forecast, {{4500, 50, 0}, seconds(1)}, Reserved,
                           milliseconds(60)));
  EXPECT_FALSE(canBackfill(Forecast, {{1000, 60, 0}, seconds(1)}, Reserved,
                           milliseconds(60)));
  EXPECT_FALSE(canBackfill(Forecast, {{1000, 10, 1}, milliseconds(1)}, Reserved,
                           milliseconds(60)));
}

/// Guards against jobs refused by the mean although an end is known to free
/// enough in time.
TEST(LookAhead, anEarlyEndShortensTheForecast) {
  std::vector<ExpectedEnd> Ends{{milliseconds(10), {4000, 0, 0}}};
  ResourceForecast Forecast{Capacity, {}, Ends, milliseconds(400)};
  ResourceDemand Small{{4000, 0, 0}, milliseconds(50)};
  Duration Wait = forecastWaitByEnds(Forecast, Small, {});
  EXPECT_LT(Wait, forecastResourceWait(Capacity, milliseconds(400), 4000));
  EXPECT_GE(Wait, milliseconds(10));
}

/// Guards against capacity that is promised twice in one plan.
TEST(LookAhead, aWideJobIsNotGivenMoreThanTheEndsFree) {
  PlacementWorker Worker;
  Worker.m_Agent = {1};
  Worker.m_Capacity = Capacity;
  Worker.m_Free = {0, 1024, 0};
  Worker.m_ExpectedEnds = {{milliseconds(10), {4000, 0, 0}},
                           {milliseconds(80), {4000, 0, 0}}};
  PlacementJob Job;
  Job.m_Tasks = 2;
  Job.m_Required = {4000, 8, 0};
  Job.m_ExpectedRunTime = milliseconds(50);
  Job.m_StartWithin = Job.m_OrderWithin = milliseconds(100);
  EXPECT_EQ(placeByEarliestFinish({Worker}, Job).m_LongestWait,
            milliseconds(80));
}
