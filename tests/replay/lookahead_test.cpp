#include "placementreplay.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

constexpr std::uint32_t Seeds[] = {1, 2, 3, 4};

struct Totals {
  double m_Small = 0;
  double m_Wide = 0;
  /// In time, counted by the cores that the jobs require.
  double m_Weighted = 0;
};

Totals totals(ReplayLoad Load, bool LooksAhead) {
  Totals Sum;
  for (std::uint32_t Seed : Seeds) {
    Load.m_Seed = Seed;
    ReplayResult Result = replayPlacement(Load, LooksAhead);
    ReplayGroup Small = Result.sum(false);
    ReplayGroup Wide = Result.sum(true);
    Sum.m_Small += Small.inTimeShare() / std::size(Seeds);
    Sum.m_Wide += Wide.inTimeShare() / std::size(Seeds);
    Sum.m_Weighted += static_cast<double>(Small.m_InTime) +
                      Load.m_WideFactor * static_cast<double>(Wide.m_InTime);
  }
  return Sum;
}

} // namespace

/// Guards against wide jobs that small ones keep from being served while
/// capacity is short, and against paying for it with idle cores.
TEST(LookAheadReplay, wideJobsAreServedAtAPeak) {
  Totals Baseline = totals(makePeakLoad(1), false);
  Totals Ahead = totals(makePeakLoad(1), true);
  EXPECT_GT(Ahead.m_Wide, Baseline.m_Wide + 0.04);
  EXPECT_GT(Ahead.m_Small, Baseline.m_Small);
  EXPECT_GT(Ahead.m_Weighted, Baseline.m_Weighted);
}

/// The same with estimates that are wrong by a factor of seven for some runs.
TEST(LookAheadReplay, tailsCostNoMoreThanTheBaseline) {
  ReplayLoad Load = makePeakLoad(1);
  Load.m_TailShare = 0.03;
  Totals Baseline = totals(Load, false);
  Totals Ahead = totals(Load, true);
  EXPECT_GT(Ahead.m_Wide, Baseline.m_Wide);
  EXPECT_GT(Ahead.m_Small, Baseline.m_Small);
}

/// Guards against a cost while capacity is sufficient.
TEST(LookAheadReplay, nothingIsLostInTheCalm) {
  ReplayLoad Load = makePeakLoad(1);
  Load.m_BurstFactor = 1;
  for (ReplayKind &Kind : Load.m_Kinds)
    Kind.m_JobsPerSecond *= 0.6;
  Totals Baseline = totals(Load, false);
  Totals Ahead = totals(Load, true);
  EXPECT_GT(Ahead.m_Wide, Baseline.m_Wide - 0.01);
  EXPECT_GT(Ahead.m_Small, Baseline.m_Small - 0.01);
}
