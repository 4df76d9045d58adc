#include "core/tests/mocks/metricsfake.h"
#include "evacuation/evacuationmodule.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cyclamenwalk;

namespace {

const std::set<std::string> None;

} // namespace

/// Guards against a request that was withdrawn coming back from a process that
/// was cut off meanwhile.
TEST(EvacuationState, OlderStateIsNotAdopted) {
  MetricsFake Metrics;
  auto State = makeEvacuationState(Metrics);
  EXPECT_TRUE(State->adoptIfNewer({5, {"a"}}, "store"));
  EXPECT_TRUE(State->adoptIfNewer({7, None}, "store"));
  EXPECT_FALSE(State->adoptIfNewer({5, {"a"}}, "peer"));
  EXPECT_FALSE(State->adoptIfNewer({7, {"a"}}, "peer"));
  EXPECT_EQ(State->current(), (Evacuation{7, None}));
  EXPECT_EQ(Metrics.of(Metric::EvacuationChanges), 2u);
}

/// A request that is made, withdrawn and made again is in force.
TEST(EvacuationState, RepeatedRequestIsAdopted) {
  MetricsFake Metrics;
  auto State = makeEvacuationState(Metrics);
  int Changes = 0;
  State->subscribe([&Changes] { ++Changes; });
  State->adoptIfNewer({5, {"a"}}, "store");
  State->adoptIfNewer({6, {"a"}}, "store");
  State->adoptIfNewer({7, None}, "store");
  State->adoptIfNewer({9, {"a"}}, "store");
  EXPECT_EQ(State->current().m_Domains, std::set<std::string>{"a"});
  EXPECT_EQ(Changes, 3);
}

/// Whatever the order in which notices arrive, the newest one is in force.
RC_GTEST_PROP(EvacuationState, OrderOfNoticesDoesNotMatter,
              (const std::vector<std::uint8_t> &Versions)) {
  MetricsFake Metrics;
  auto State = makeEvacuationState(Metrics);
  std::uint64_t Highest = 0;
  for (std::uint64_t Version : Versions) {
    std::uint64_t Before = State->current().m_Version;
    State->adoptIfNewer({Version, {std::to_string(Version)}}, "peer");
    Highest = std::max(Highest, Version);
    RC_ASSERT(State->current().m_Version >= Before);
  }
  RC_ASSERT(State->current().m_Version == Highest);
  bool IsExact =
      Highest == 0 || State->current().m_Domains ==
                          std::set<std::string>{std::to_string(Highest)};
  RC_ASSERT(IsExact);
}
