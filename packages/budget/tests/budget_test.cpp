#include "budget/connectiontable.h"
#include "budget/memorybudget.h"
#include "budget/types/budgetplan.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <thread>

using namespace cyclamenwalk;

namespace {

constexpr std::uint64_t LimitBytes = 1024 * 1024;
constexpr std::size_t ClassCount = static_cast<std::size_t>(ChargeClass::Count);

TimePoint at(Duration SinceStart) { return TimePoint() + SinceStart; }

ConnectionTable makeTable() {
  ConnectionTable Table;
  ConnectionLimits Limits;
  Limits.m_HeaderTimeout = seconds(3);
  Limits.m_IdleTimeout = seconds(15);
  Limits.m_BodyBytesPerSecond = 1000;
  Table.setLimits(Limits);
  return Table;
}

bool hasHeader(ConnectionNumber, TimePoint) { return true; }
bool hasNoHeader(ConnectionNumber, TimePoint) { return false; }

} // namespace

/// Guards against charges that are lost or released twice when requests grow,
/// end or are reset in any order.
TEST(MemoryBudget, staysWithinLimitAndIsEmptyAfterwards) {
  rc::check([] {
    auto Budget = std::make_shared<MemoryBudget>(LimitBytes);
    {
      std::vector<Charge> Requests(8);
      auto Steps = *rc::gen::container<std::vector<std::array<unsigned, 4>>>(
          rc::gen::container<std::array<unsigned, 4>>(
              rc::gen::inRange(0U, 400000U)));
      for (const auto &[Which, Action, Bytes, Class] : Steps) {
        Charge &Current = Requests[Which % Requests.size()];
        std::uint64_t Before = Current.bytes();
        std::uint64_t UsedBefore = Budget->used();
        if (Action % 4 == 0)
          Current.reset();
        else if (Action % 4 == 1)
          Current = Charge();
        else if (!Current.tryReplace(
                     Budget, static_cast<ChargeClass>(Class % ClassCount),
                     Bytes, Action % 4 == 3)) {
          RC_ASSERT(Current.bytes() == Before);
          RC_ASSERT(Budget->used() == UsedBefore);
        }
        std::uint64_t Sum = 0;
        for (const Charge &Request : Requests)
          Sum += Request.bytes();
        RC_ASSERT(Budget->used() == Sum);
        RC_ASSERT(Sum <= LimitBytes);
      }
    }
    RC_ASSERT(Budget->used() == 0U);
    for (std::size_t I = 0; I < ClassCount; ++I)
      RC_ASSERT(Budget->usedBy(static_cast<ChargeClass>(I)) == 0U);
  });
}

/// Guards against large requests that leave no memory for ordinary ones.
TEST(MemoryBudget, smallRequestsFitWhileLargeOnesHoldTheirShare) {
  rc::check([] {
    auto Budget = std::make_shared<MemoryBudget>(LimitBytes);
    std::vector<Charge> Large(200);
    for (Charge &Current : Large) {
      auto Bytes = *rc::gen::inRange<std::size_t>(SmallBodyBytes + 1, 300000);
      Current.tryReplace(
          Budget, *rc::gen::element(bodyClass(Bytes), requestClass(Bytes)),
          Bytes);
    }
    auto Bytes = *rc::gen::inRange<std::size_t>(1, SmallBodyBytes);
    Charge Connection;
    RC_ASSERT(Connection.tryReplace(Budget, ChargeClass::Connection, Bytes));
    Charge Small;
    RC_ASSERT(Small.tryReplace(Budget, bodyClass(Bytes), Bytes));
    RC_ASSERT(Small.tryReplace(Budget, requestClass(Bytes), 2 * Bytes, true));
    Charge Answer;
    RC_ASSERT(Answer.tryReplace(Budget, ChargeClass::Answer, Bytes));
  });
}

/// Guards against a limit that several threads exceed together.
TEST(MemoryBudget, holdsItsLimitWithSeveralThreads) {
  auto Budget = std::make_shared<MemoryBudget>(LimitBytes);
  constexpr int ThreadCount = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (int I = 0; I < ThreadCount; ++I)
    Threads.emplace_back([Budget] {
      for (int Round = 0; Round < 20000; ++Round) {
        Charge Current;
        Current.tryReplace(Budget, ChargeClass::Answer, LimitBytes / 3);
        EXPECT_LE(Budget->used(), LimitBytes);
      }
    });
  for (std::thread &Current : Threads)
    Current.join();
  EXPECT_EQ(Budget->used(), 0U);
}

/// Guards against a plan in which clients take the descriptors of links.
TEST(BudgetPlan, leavesMemoryAndDescriptorsForTheRest) {
  rc::check([] {
    ProcessResources Resources;
    Resources.m_MemoryBytes = *rc::gen::inRange(64U, 4096U) * 1024ULL * 1024;
    Resources.m_Descriptors = *rc::gen::inRange(1024U, 20000U);
    Resources.m_ConnectionBytes = 26 * 1024;
    BudgetPlan Plan = planBudget(Resources);
    RC_ASSERT(Plan.m_Clients.m_Connections +
                  2 * Plan.m_Operators.m_Connections + 200 <
              Resources.m_Descriptors);
    RC_ASSERT(Plan.m_Clients.m_Bytes * 2 < Resources.m_MemoryBytes);
    RC_ASSERT(Plan.m_Clients.m_Connections * Resources.m_ConnectionBytes <=
              Plan.m_Clients.m_Bytes / 2);
  });
}

TEST(ConnectionTable, closesSlowHeadersAndIdleConnections) {
  ConnectionTable Table = makeTable();
  Table.add(1, at({}));
  EXPECT_TRUE(Table.takeOverdue(at(milliseconds(2999)), hasHeader).empty());
  EXPECT_TRUE(Table.takeOverdue(at(seconds(3)), hasNoHeader).empty());
  auto Overdue = Table.takeOverdue(at(seconds(6)), hasHeader);
  ASSERT_EQ(Overdue.size(), 1U);
  EXPECT_EQ(Overdue[0].m_Reason, CloseReason::HeaderTooSlow);
  Overdue = Table.takeOverdue(at(seconds(15)), hasNoHeader);
  ASSERT_EQ(Overdue.size(), 1U);
  EXPECT_EQ(Overdue[0].m_Reason, CloseReason::Idle);
}

/// A body at the minimum rate is received; one that stops is not.
TEST(ConnectionTable, closesSlowBodiesOnly) {
  ConnectionTable Table = makeTable();
  for (ConnectionNumber Number : {1, 2, 3}) {
    Table.add(Number, at({}));
    Table.setPhase(Number,
                   Number == 3 ? ConnectionPhase::Answering
                               : ConnectionPhase::Receiving,
                   at({}));
  }
  std::vector<ConnectionNumber> Closed;
  for (int Second = 1; Second <= 20; ++Second) {
    Table.recordBytes(1, 1000, at(seconds(Second)));
    for (const auto &Overdue :
         Table.takeOverdue(at(seconds(Second)), hasHeader)) {
      EXPECT_EQ(Overdue.m_Reason, CloseReason::BodyTooSlow);
      Closed.push_back(Overdue.m_Number);
      Table.remove(Overdue.m_Number);
    }
  }
  EXPECT_EQ(Closed, std::vector<ConnectionNumber>{2});
}

TEST(ConnectionTable, idleConnectionsGoFirstThenStalledBodies) {
  ConnectionTable Table = makeTable();
  for (ConnectionNumber Number : {1, 2, 3, 4})
    Table.add(Number, at(milliseconds(Number)));
  Table.setPhase(1, ConnectionPhase::Answering, at(milliseconds(5)));
  Table.setPhase(2, ConnectionPhase::Receiving, at(milliseconds(6)));
  Table.setPhase(3, ConnectionPhase::Receiving, at(milliseconds(7)));
  EXPECT_FALSE(Table.chooseVictim(at(milliseconds(50))));
  EXPECT_EQ(Table.chooseVictim(at(seconds(1))), 4U);
  Table.remove(4);
  Table.recordBytes(2, 1, at(milliseconds(800)));
  EXPECT_EQ(Table.chooseVictim(at(seconds(1))), 3U);
  Table.remove(3);
  EXPECT_FALSE(Table.chooseVictim(at(seconds(1))))
      << "its body is still arriving";
}

/// Guards against the loss of connections, and of the order, in any sequence
/// of phases and disconnections.
TEST(ConnectionTable, neverChoosesABusyConnection) {
  rc::check([] {
    ConnectionTable Table = makeTable();
    std::map<ConnectionNumber, ConnectionPhase> Phases;
    auto Steps = *rc::gen::container<std::vector<std::array<unsigned, 3>>>(
        rc::gen::container<std::array<unsigned, 3>>(
            rc::gen::inRange(0U, 600U)));
    TimePoint Now;
    for (const auto &[Which, Action, Delay] : Steps) {
      Now += milliseconds(Delay);
      ConnectionNumber Number = Which % 10;
      auto Phase = static_cast<ConnectionPhase>(Action % 5);
      if (!Phases.contains(Number)) {
        Table.add(Number, Now);
        Phases[Number] = ConnectionPhase::Waiting;
      } else if (Action % 7 == 6) {
        Table.remove(Number);
        Phases.erase(Number);
      } else {
        Table.setPhase(Number, Phase, Now);
        Phases[Number] = Phase;
      }
      RC_ASSERT(Table.size() == Phases.size());
      if (auto Victim = Table.chooseVictim(Now))
        RC_ASSERT(Phases.at(*Victim) == ConnectionPhase::Waiting ||
                  Phases.at(*Victim) == ConnectionPhase::Receiving);
      for (const auto &Overdue : Table.takeOverdue(Now, hasHeader))
        RC_ASSERT(Phases.at(Overdue.m_Number) != ConnectionPhase::Answering);
    }
  });
}
