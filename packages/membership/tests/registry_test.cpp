#include "core/tests/mocks/manualtimerservice.h"
#include "membership/internal/entryregistry.h"
#include "membership/tests/mocks/entryaddresses.h"
#include "statechart/chartfolder.h"
#include "store/tests/mocks/storefake.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace cyclamenwalk;

namespace {

EntryRowCodec textCodec() {
  auto Encode = [](const EntryRow &Row) {
    std::ostringstream Out;
    Out << Row.m_Address.m_Name << ' ' << Row.m_Address.m_Incarnation.m_Value
        << ' ' << Row.m_Renewals;
    return Out.str();
  };
  auto Decode = [](const std::string &Text) -> std::optional<EntryRow> {
    std::istringstream In(Text);
    std::string Name;
    std::uint64_t Number = 0;
    EntryRow Row;
    if (!(In >> Name >> Number >> Row.m_Renewals))
      return std::nullopt;
    Row.m_Address = address(Name, Number);
    return Row;
  };
  return {Encode, Decode};
}

class RegistryTest : public testing::Test {
protected:
  std::unique_ptr<EntryRegistry> startRegistry(const std::string &Name,
                                               std::uint64_t Number) {
    auto Registry = std::make_unique<EntryRegistry>(
        address(Name, Number), RegistrySettings{}, textCodec(), m_Charts,
        m_Platform, m_Timers);
    Registry->start([this](const auto &) { ++m_ChangeCount; });
    m_Platform.answerAll();
    return Registry;
  }

  void advance(Duration Span) {
    for (Duration Left = Span; Left > Duration::zero(); Left -= seconds(1)) {
      m_Timers.advance(seconds(1));
      m_Platform.answerAll();
    }
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  StoreFake m_Platform;
  int m_ChangeCount = 0;
};

} // namespace

TEST_F(RegistryTest, membersFindEachOtherAndExpire) {
  auto First = startRegistry("entry-1", 1);
  auto Second = startRegistry("entry-2", 2);
  advance(seconds(3));
  EXPECT_EQ(First->members().size(), 2u);
  Second.reset();
  advance(seconds(9));
  EXPECT_EQ(First->members().size(), 2u);
  advance(seconds(4));
  EXPECT_EQ(First->members().size(), 1u);
  advance(seconds(60));
  EXPECT_EQ(m_Platform.m_Store.scan("entries", "").m_Rows.size(), 1u);
}

TEST_F(RegistryTest, leavingEntryIsRemovedAtOnce) {
  auto First = startRegistry("entry-1", 1);
  auto Second = startRegistry("entry-2", 2);
  advance(seconds(3));
  Second->leave();
  EXPECT_EQ(Second->members().size(), 1u);
  advance(seconds(3));
  EXPECT_EQ(First->members().size(), 1u);
}

TEST_F(RegistryTest, membersListedByPeersAreAcceptedDuringAStoreOutage) {
  auto First = startRegistry("entry-1", 1);
  EXPECT_TRUE(First->isStoreAvailable());
  m_Platform.m_Fault = StoreFake::Fault::Down;
  advance(seconds(3));
  EXPECT_FALSE(First->isStoreAvailable());
  First->mergeMembers({address("entry-2", 2)});
  EXPECT_EQ(First->members().size(), 2u);
  m_Platform.m_Fault = StoreFake::Fault::None;
  advance(seconds(3));
  EXPECT_TRUE(First->isStoreAvailable());
}

// During an outage the row of a replaced entry still holds the address of its
// predecessor.
TEST_F(RegistryTest, replacedEntryIsRecordedDuringAnOutage) {
  auto First = startRegistry("entry-1", 1);
  auto Second = startRegistry("entry-2", 2);
  advance(seconds(3));
  m_Platform.m_Fault = StoreFake::Fault::Down;
  Second.reset();
  First->recordAnnouncement(address("entry-2", 3));
  ASSERT_EQ(First->members().size(), 2u);
  EXPECT_EQ(First->members()[1].m_Incarnation, Incarnation{3});
  // A list from another entry does not override the announcement of the entry.
  First->mergeMembers({address("entry-2", 2)});
  EXPECT_EQ(First->members()[1].m_Incarnation, Incarnation{3});
  advance(seconds(11));
  EXPECT_EQ(First->members().size(), 1u);
  First->mergeMembers({address("entry-2", 4)});
  EXPECT_EQ(First->members().size(), 2u);
}

/// The store revokes rows of entries that live, and they come back later.
TEST_F(RegistryTest, linkedEntryRemainsWithoutItsRow) {
  auto First = startRegistry("entry-1", 1);
  auto Second = startRegistry("entry-2", 2);
  advance(seconds(3));
  First->recordLinkUp(address("entry-2", 2));
  Second->leave();
  m_ChangeCount = 0;
  advance(seconds(30));
  EXPECT_EQ(First->members().size(), 2u);
  EXPECT_EQ(m_ChangeCount, 1) << "entry-2 itself has left";
  First->recordLinkDown(address("entry-2", 2));
  advance(seconds(11));
  EXPECT_EQ(First->members().size(), 1u);
}

TEST_F(RegistryTest, lostLinkOfAnEarlierIncarnationChangesNothing) {
  auto First = startRegistry("entry-1", 1);
  First->recordLinkUp(address("entry-2", 3));
  First->recordLinkDown(address("entry-2", 2));
  advance(seconds(30));
  EXPECT_EQ(First->members().size(), 2u);
}

/// An entry that had just started answered for members that it didn't know.
TEST_F(RegistryTest, IsCompleteOnceTheRowsWereRead) {
  m_Platform.m_Fault = StoreFake::Fault::Down;
  auto First = startRegistry("entry-1", 1);
  First->mergeMembers({address("entry-2", 2)});
  EXPECT_FALSE(First->isComplete());
  m_Platform.m_Fault = StoreFake::Fault::None;
  advance(seconds(2));
  EXPECT_TRUE(First->isComplete());
}

TEST_F(RegistryTest, IsCompleteByTheListOfAnotherEntry) {
  m_Platform.m_Fault = StoreFake::Fault::Down;
  auto First = startRegistry("entry-1", 1);
  First->mergeMembers({address("entry-2", 2)});
  First->recordCompleteList();
  EXPECT_TRUE(First->isComplete());
}

/// An entry that ended gracefully was a member for the whole lease time, if its
/// link had come up before its row was read.
TEST_F(RegistryTest, AnEntryWithoutLinkAndRowHasLeft) {
  auto First = startRegistry("entry-1", 1);
  First->recordLinkUp(address("entry-2", 2));
  auto Second = startRegistry("entry-2", 2);
  advance(seconds(3));
  Second->leave();
  Second.reset();
  m_Platform.answerAll();
  First->recordLinkDown(address("entry-2", 2));
  EXPECT_EQ(First->members().size(), 2u) << "a lost link proves nothing";
  advance(seconds(2));
  EXPECT_EQ(First->members().size(), 1u);
}

TEST_F(RegistryTest, RefreshReadsTheRowsAtMostOnceASecond) {
  auto First = startRegistry("entry-1", 1);
  auto Second = startRegistry("entry-2", 2);
  First->refresh();
  m_Platform.answerAll();
  EXPECT_EQ(First->members().size(), 1u);
  m_Timers.advance(seconds(1));
  First->refresh();
  m_Platform.answerAll();
  EXPECT_EQ(First->members().size(), 2u);
}

/// Guards against a cancel that is answered "no such job" while an entry runs
/// it: entries cannot renew their rows while the store is down.
TEST_F(RegistryTest, SilenceOfTheStoreIsNoSilenceOfItsEntries) {
  auto First = startRegistry("entry-1", 1);
  auto Second = startRegistry("entry-2", 2);
  advance(seconds(3));
  m_Platform.m_Fault = StoreFake::Fault::Down;
  for (int I = 0; I < 30; ++I) {
    advance(seconds(1));
    EXPECT_TRUE(First->members().size() == 2 || !First->isComplete())
        << "after " << I + 1 << " s";
  }
  m_Platform.m_Fault = StoreFake::Fault::None;
  for (int I = 0; I < 10; ++I) {
    advance(seconds(1));
    EXPECT_TRUE(First->members().size() == 2 || !First->isComplete())
        << I + 1 << " s after the outage";
  }
}
