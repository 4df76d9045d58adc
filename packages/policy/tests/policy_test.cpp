#include "policy/internal/creditledger.h"
#include "policy/internal/retrybudget.h"
#include "policy/internal/runtimes.h"
#include "policy/policymodule.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

const Incarnation AgentA{1};
const Incarnation AgentB{2};

} // namespace

TEST(RunTimes, estimatesMeanAndQuantilesToABucketWidth) {
  RunTimes Times;
  for (int I = 1; I <= 100; ++I)
    Times.record("s", "k", milliseconds(10 * I));
  EXPECT_NEAR(toMilliseconds(*Times.quantile("s", "k", 0.5)), 500, 120);
  EXPECT_NEAR(toMilliseconds(*Times.quantile("s", "k", 0.9)), 900, 200);
  EXPECT_NEAR(toMilliseconds(*Times.mean("s", "k")), 505, 1);
  EXPECT_FALSE(Times.quantile("s", "other", 0.5));
  EXPECT_FALSE(Times.mean("s", "other"));
}

TEST(RunTimes, followsAChangeOfRunTimes) {
  RunTimes Times;
  for (int I = 0; I < 2000; ++I)
    Times.record("s", "k", milliseconds(50));
  for (int I = 0; I < 2000; ++I)
    Times.record("s", "k", seconds(2));
  EXPECT_GE(*Times.quantile("s", "k", 0.5), seconds(2));
}

TEST(CreditLedger, takesCreditsOfTheLeastLoadedWorkerFirst) {
  CreditLedger Ledger(PolicyHooks().m_WorkerScore);
  for (std::uint64_t I = 1; I <= 2; ++I) {
    Ledger.add(AgentA, {CreditId{I}, true});
    Ledger.add(AgentB, {CreditId{I + 10}, true});
  }
  Incarnation First = Ledger.take(false)->m_Agent;
  Incarnation Second = Ledger.take(false)->m_Agent;
  EXPECT_NE(First, Second);
  EXPECT_EQ(Ledger.unspentCredits(), 2u);
  EXPECT_EQ(Ledger.inFlight(), 2u);
}

TEST(CreditLedger, shortTasksTakeLongCreditsLast) {
  CreditLedger Ledger(PolicyHooks().m_WorkerScore);
  Ledger.add(AgentA, {CreditId{1}, true});
  Ledger.add(AgentB, {CreditId{2}, false});
  EXPECT_EQ(Ledger.take(false)->m_Credit, CreditId{2});
  EXPECT_TRUE(Ledger.hasLongTaskCredit());
  EXPECT_EQ(Ledger.take(true)->m_Credit, CreditId{1});
  Ledger.add(AgentB, {CreditId{3}, false});
  EXPECT_FALSE(Ledger.hasLongTaskCredit());
  EXPECT_FALSE(Ledger.take(true));
}

TEST(CreditLedger, limitBlocksCreditsAndWithdrawalRemovesThem) {
  CreditLedger Ledger(PolicyHooks().m_WorkerScore);
  Ledger.add(AgentA, {CreditId{1}, true});
  Ledger.add(AgentA, {CreditId{2}, true});
  Ledger.setLimit(AgentA, 1);
  EXPECT_TRUE(Ledger.take(false));
  EXPECT_FALSE(Ledger.take(false));
  Ledger.taskEnded(AgentA);
  EXPECT_TRUE(Ledger.hasCredit());
  Ledger.withdraw(AgentA, CreditId{2});
  EXPECT_FALSE(Ledger.hasCredit());
  Ledger.removeAgent(AgentA);
  EXPECT_EQ(Ledger.unspentCredits(), 0u);
}

TEST(Admission, refusesJobsThatCannotEndBeforeTheDeadline) {
  AdmissionView View;
  View.m_Remaining = seconds(2);
  View.m_WorkAhead = seconds(80);
  View.m_JobWork = View.m_TaskRunTimeBound = milliseconds(500);
  View.m_Slots = 88;
  EXPECT_EQ(admitByDeadline(View), ResultCode::Ok);
  View.m_Slots = 8;
  EXPECT_EQ(admitByDeadline(View), ResultCode::DeadlineUnreachable);
  EXPECT_EQ(admitAll(View), ResultCode::Ok);
  View.m_Slots = 0;
  EXPECT_EQ(admitByDeadline(View), ResultCode::Ok);
}

TEST(RetryBudget, delaysRetriesBeyondARatioOfStarts) {
  RetryBudget Budget;
  int Immediate = 0;
  for (int I = 0; I < 1000; ++I)
    Immediate += Budget.takeRetryDelay() == Duration::zero();
  EXPECT_EQ(Immediate, 200);
  for (int I = 0; I < 10; ++I)
    Budget.recordStart();
  EXPECT_EQ(Budget.takeRetryDelay(), Duration::zero());
}
