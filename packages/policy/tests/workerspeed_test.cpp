#include "policy/types/workerspeed.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <random>

using namespace cyclamenwalk;

namespace {

constexpr double Permille = 1000;
constexpr Duration Expected = milliseconds(100);
/// The number of ends that an estimate is made from.
constexpr std::size_t Window = 64;

SpeedEstimator estimatorOf(const std::vector<int> &RunTimes) {
  SpeedEstimator Estimator;
  for (int RunTime : RunTimes)
    Estimator.recordEnd(milliseconds(RunTime), Expected);
  return Estimator;
}

double slownessOf(const SpeedEstimator &Estimator) {
  return Estimator.learned().m_SlownessPermille / Permille;
}

/// Ends of a server of \p Speed, with estimates that are up to 40 % off.
void recordEnds(SpeedEstimator &Estimator, double Speed, std::size_t Ends,
                std::mt19937 &Random) {
  std::uniform_real_distribution<> Error(0.6, 1.4);
  for (std::size_t I = 0; I < Ends; ++I)
    Estimator.recordEnd(scaled(Expected, 1 / Speed),
                        scaled(Expected, Error(Random)));
}

std::vector<LearnedSpeed> learnedSpeeds(const std::vector<double> &Speeds,
                                        std::size_t Ends,
                                        std::mt19937 &Random) {
  std::vector<LearnedSpeed> Learned;
  for (double Speed : Speeds) {
    SpeedEstimator Estimator;
    recordEnds(Estimator, Speed, Ends, Random);
    Learned.push_back(Estimator.learned());
  }
  return Learned;
}

/// Guards against an estimate that stops or floods a server whose clock or
/// estimates are wrong.
TEST(SpeedEstimatorTest, EstimateIsBounded) {
  EXPECT_TRUE(rc::check("bounded", [](const std::vector<int> &RunTimes) {
    SpeedEstimator Estimator = estimatorOf(RunTimes);
    RC_ASSERT(Estimator.learned().m_SlownessPermille >= 200u);
    RC_ASSERT(Estimator.learned().m_SlownessPermille <= 8000u);
    RC_ASSERT(Estimator.learned().m_Ends <=
              std::min<std::size_t>(Window, RunTimes.size()));
  }));
}

/// Replies list the ends of runs in any order.
TEST(SpeedEstimatorTest, OrderOfEndsWithinAWindowIsIrrelevant) {
  EXPECT_TRUE(rc::check("order", [](std::uint32_t Seed) {
    auto RunTimes = *rc::gen::container<std::vector<int>>(
        Window, rc::gen::inRange(80, 130));
    SpeedEstimator InOrder = estimatorOf(RunTimes);
    std::shuffle(RunTimes.begin(), RunTimes.end(), std::mt19937(Seed));
    RC_ASSERT(InOrder.learned().m_SlownessPermille ==
              estimatorOf(RunTimes).learned().m_SlownessPermille);
  }));
}

/// Guards against one long run that makes its server look slow.
TEST(SpeedEstimatorTest, ATailHardlyMovesTheEstimate) {
  EXPECT_TRUE(rc::check("tail", [] {
    auto RunTimes =
        *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(80, 130));
    int Tail = *rc::gen::inRange(500, 100'000);
    SpeedEstimator Estimator = estimatorOf(RunTimes);
    double Before = slownessOf(Estimator);
    RC_ASSERT(Estimator.recordEnd(milliseconds(Tail), Expected));
    RC_ASSERT(slownessOf(Estimator) >= Before * 0.99);
    RC_ASSERT(slownessOf(Estimator) <= Before * 1.05);
  }));
}

/// Guards against an estimate that follows too late: tens of ends suffice after
/// a start, and about ten after a change.
TEST(SpeedEstimatorTest, ConvergesAfterAStartAndAfterAChange) {
  for (std::uint32_t Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937 Random(Seed);
    SpeedEstimator Estimator;
    recordEnds(Estimator, 0.5, 30, Random);
    EXPECT_NEAR(std::log(slownessOf(Estimator)), std::log(2 * 1.04), 0.2);
    recordEnds(Estimator, 0.5, Window, Random);
    recordEnds(Estimator, 2, 12, Random);
    EXPECT_LT(slownessOf(Estimator), 1) << "closer to 0.5 than to 2";
    recordEnds(Estimator, 2, 18, Random);
    EXPECT_NEAR(std::log(slownessOf(Estimator)), std::log(0.5 * 1.04), 0.3);
  }
}

/// Guards against work that is moved around for noise.
TEST(ShrinkToKindTest, EquallyFastWorkersCountAsTheirKind) {
  for (std::size_t Ends : {3u, 10u, 30u, 100u}) {
    std::mt19937 Random(7);
    for (int Round = 0; Round < 50; ++Round) {
      KindSpeeds Speeds = shrinkToKind(
          learnedSpeeds(std::vector<double>(20, 1.2), Ends, Random));
      for (double Slowness : Speeds.m_ByWorker)
        EXPECT_NEAR(Slowness / Speeds.m_Slowness, 1, 0.05);
    }
  }
}

/// Guards against slow servers that count as fast ones because they have the
/// same kind.
TEST(ShrinkToKindTest, SlowWorkersOfAKindAreToldApart) {
  std::mt19937 Random(7);
  std::vector<double> Truth(20, 1.2);
  for (std::size_t I = 0; I < Truth.size(); I += 4)
    Truth[I] = 0.55;
  std::vector<LearnedSpeed> Learned = learnedSpeeds(Truth, 20, Random);
  Learned.push_back({});
  KindSpeeds Speeds = shrinkToKind(Learned);
  for (std::size_t I = 0; I < Truth.size(); ++I)
    EXPECT_NEAR(Speeds.m_ByWorker[I] / Speeds.m_Slowness, 1.2 / Truth[I], 0.45);
  EXPECT_DOUBLE_EQ(Speeds.m_ByWorker.back(), Speeds.m_Slowness)
      << "a worker without ends counts as its kind";
}

/// Whatever agents report, a worker stays within bounds of its kind.
TEST(ShrinkToKindTest, ShrunkSpeedsAreFiniteAndBetweenOwnAndKind) {
  EXPECT_TRUE(rc::check("bounds", [](const std::vector<std::uint32_t> &Values) {
    std::vector<LearnedSpeed> Learned;
    for (std::size_t I = 0; I + 2 < Values.size(); I += 3)
      Learned.push_back({Values[I], Values[I + 1], Values[I + 2]});
    KindSpeeds Speeds = shrinkToKind(Learned);
    RC_ASSERT(Speeds.m_ByWorker.size() == Learned.size());
    for (double Slowness : Speeds.m_ByWorker) {
      RC_ASSERT(Slowness >= 0.199);
      RC_ASSERT(Slowness <= 8.001);
    }
  }));
}

TEST(BecomeSlowTest, SingleOverdueRunsAreTails) {
  EXPECT_FALSE(hasBecomeSlow(1, 1));
  EXPECT_FALSE(hasBecomeSlow(11, 3));
  EXPECT_TRUE(hasBecomeSlow(11, 6));
}

} // namespace
