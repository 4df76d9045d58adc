#include "policy/types/fairshare.h"

#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>

using namespace cyclamenwalk;

namespace {

const ShareGroup Short{"short", "z1", 0};
const ShareGroup Long{"long", "z1", 0};
constexpr TimePoint Start{seconds(1000)};

GroupWork work(const ShareGroup &Group, double Offered, double Served) {
  return {Group.m_Route,
          Group.m_FailureDomain,
          Group.m_WidthClass,
          0,
          Offered,
          Served,
          Offered};
}

/// Guards against capacity that is given out twice or kept back.
RC_GTEST_PROP(FairLevelTest, GivesOutTheCapacityByWeight, ()) {
  auto Sizes = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
  double Capacity = *rc::gen::inRange(0, 3000);
  std::vector<ShareDemand> Demands;
  double Total = 0;
  for (int Size : Sizes) {
    auto Priority = static_cast<std::uint32_t>(*rc::gen::inRange(0, 40));
    Demands.push_back({static_cast<double>(Size), shareWeight(Priority)});
    Total += Size;
  }
  double Level = fairLevel(Demands, Capacity);
  double Served = 0;
  for (const ShareDemand &Item : Demands)
    if (Item.m_Offered > 0)
      Served += Item.m_Offered * std::min(1.0, Level * Item.m_Weight);
  RC_ASSERT(std::abs(Served - std::min(Capacity, Total)) < 1e-6 * (1 + Total));
}

/// Guards against decisions that depend on which entry was heard first.
RC_GTEST_PROP(GroupWorkTest, TheOrderOfMessagesDoesNotMatter, ()) {
  std::vector<std::vector<GroupWork>> Stated;
  for (int I = 0; I < 4; ++I) {
    double Offered = *rc::gen::inRange(1, 500);
    double Served = *rc::gen::inRange(0, 500);
    Stated.push_back(
        {work(Short, Offered, Served), work(Long, Served + 1, Offered)});
  }
  std::vector<std::uint64_t> Order{0, 1, 2, 3};
  GroupWorkTable InOrder;
  for (std::uint64_t I : Order)
    InOrder.update({I}, Stated[I], Start);
  std::rotate(Order.begin(), Order.begin() + *rc::gen::inRange(0, 4),
              Order.end());
  GroupWorkTable Rotated;
  for (std::uint64_t I : Order)
    Rotated.update({I}, Stated[I], Start);
  for (const ShareGroup &Group : {Short, Long})
    RC_ASSERT(std::abs(shareCorrection(InOrder.share(Group, Start)) -
                       shareCorrection(Rotated.share(Group, Start))) < 1e-9);
}

/// Guards against a group that is refused although it was served less than
/// others, and against figures of this entry alone: it has served all it saw.
TEST(GroupWorkTest, AGroupServedLessElsewhereIsAdmittedMoreEasily) {
  GroupWorkTable Table;
  for (int I = 0; I < 50; ++I) {
    Table.addOffered(Long, 0, 1, Start);
    Table.addServed(Long, Start);
  }
  EXPECT_DOUBLE_EQ(shareCorrection(Table.share(Long, Start)), 1);
  Table.update({7}, {work(Long, 200, 50), work(Short, 200, 190)}, Start);
  EXPECT_GT(shareCorrection(Table.share(Long, Start)), 1.5);
  EXPECT_LT(shareCorrection(Table.share(Short, Start)), 0.7);
}

/// Guards against an entry that is gone or cut off and counts for ever.
TEST(GroupWorkTest, WhatAnEntryStatedStopsCounting) {
  GroupWorkTable Table;
  Table.update({7}, {work(Long, 200, 0), work(Short, 200, 200)}, Start);
  EXPECT_GT(shareCorrection(Table.share(Long, Start)), 1.5);
  EXPECT_DOUBLE_EQ(
      shareCorrection(Table.share(Long, Start + std::chrono::minutes(1))), 1);
}

/// Guards against a failed job that counts as served.
TEST(GroupWorkTest, AFailedJobIsTakenBack) {
  GroupWorkTable Table;
  Table.addOffered(Long, 0, 1, Start);
  Table.addServed(Long, Start);
  Table.removeServed(Long, Start, Start + seconds(1));
  EXPECT_NEAR(Table.ownWork(Start + seconds(1))[0].m_ServedJobs, 0, 1e-9);
}

/// Guards against memory that grows with the names of routes.
TEST(GroupWorkTest, TheNumberOfGroupsIsBounded) {
  GroupWorkTable Table;
  std::vector<GroupWork> Stated;
  for (int I = 0; I < 500; ++I) {
    Table.addOffered({std::to_string(I), "z1", 0}, 0, 1, Start);
    Stated.push_back(work({std::to_string(I), "z1", 0}, -1, -1));
  }
  Table.update({7}, Stated, Start);
  EXPECT_EQ(Table.ownWork(Start).size(), 128u);
}

/// Guards against late starts of short jobs that refuse long ones, and against
/// a group that is refused for ever.
TEST(GroupSlackTest, LateStartsHoldBackTheirOwnRouteForAWhile) {
  GroupSlack Slack;
  for (int I = 0; I < 200; ++I)
    Slack.recordStart(Short, true, Start);
  EXPECT_LT(Slack.ratio(Short, Start), 0.1);
  ShareGroup WideShort = Short;
  WideShort.m_WidthClass = 2;
  EXPECT_LT(Slack.ratio(WideShort, Start), 0.1) << "judged by its route";
  EXPECT_EQ(Slack.ratio(Long, Start), 1);
  EXPECT_GT(Slack.ratio(Short, Start + std::chrono::minutes(1)), 0.8);
}

/// Guards against refusals for the sake of shares while capacity is free.
RC_GTEST_PROP(FairAdmissionTest, AJobThatHardlyWaitsIsAdmittedWhileThereIsRoom,
              ()) {
  ObjectiveView View;
  View.m_Remaining = seconds(2);
  View.m_ExpectedRunTime = milliseconds(50);
  View.m_SlackRatio = *rc::gen::inRange(0, 100) / 100.0;
  View.m_ShareCorrection = *rc::gen::inRange(0, 300) / 100.0;
  View.m_SlackUse = *rc::gen::inRange(0, 25) / 100.0;
  View.m_CoreUtilization = *rc::gen::inRange(0, 90) / 100.0;
  RC_ASSERT(admitByFairShare(View));
  View.m_SlackUse = 0;
  View.m_CoreUtilization = 1;
  RC_ASSERT(admitByFairShare(View));
  View.m_SlackUse = 1.01;
  RC_ASSERT(!admitByFairShare(View));
}

TEST(WidthClassesTest, TheWidestTenthAndTheFifthBelowAreClassesOfTheirOwn) {
  WidthClasses Classes;
  std::map<std::int64_t, std::uint32_t> ClassByWidth;
  for (int I = 0; I < 1000; ++I) {
    int Rank = I * 7 % 10;
    std::int64_t Width = Rank == 9 ? 60000 : Rank >= 7 ? 40000 : 10000;
    ClassByWidth[Width] = Classes.classify("long", Width);
    EXPECT_EQ(Classes.classify("equal", 10000), 0u);
  }
  EXPECT_EQ(ClassByWidth[10000], 0u);
  EXPECT_EQ(ClassByWidth[40000], 1u);
  EXPECT_EQ(ClassByWidth[60000], 2u);
}

} // namespace
