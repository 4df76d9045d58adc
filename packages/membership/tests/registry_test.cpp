#include "core/tests/mocks/manualtimerservice.h"
#include "membership/internal/entryregistry.h"
#include "membership/internal/entryselection.h"
#include "membership/tests/mocks/linksmock.h"
#include "statechart/chartfolder.h"
#include "store/tests/mocks/storefake.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace cyclamenwalk;
using testing::_;

namespace {

EntryAddress address(const std::string &Name, std::uint64_t Number) {
  return {Name, Incarnation{Number}, Name + ":1", Name + ":2", "domain"};
}

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

TEST(EntrySelection, linksToASubsetAndMovesFewLinksOnChange) {
  ManualTimerService Timers;
  std::vector<EntryAddress> Entries;
  for (std::uint64_t I = 1; I <= 10; ++I)
    Entries.push_back(address("entry-" + std::to_string(I), I * 7919));
  int MovedCount = 0;
  for (int Agent = 0; Agent < 100; ++Agent) {
    testing::NiceMock<LinksMock> Links;
    std::set<std::string> Connected;
    ON_CALL(Links, connect(_)).WillByDefault([&](const std::string &Address) {
      Connected.insert(Address);
    });
    EntrySelection Selection({"agent-" + std::to_string(Agent), {}, 2}, Links,
                             Timers, [] {});
    Selection.setEntries(Entries);
    ASSERT_EQ(Connected.size(), 2u);
    auto Remaining = Entries;
    Remaining.pop_back();
    auto ConnectedBefore = Connected;
    Connected.clear();
    Selection.setEntries(Remaining);
    MovedCount += Connected != ConnectedBefore;
  }
  // Only the agents linked to the removed entry move: about 2 in 10.
  EXPECT_LE(MovedCount, 40);
  EXPECT_GE(MovedCount, 1);
}

TEST(EntrySelection, fallsBackToSeedsAndStoreWhileUnlinked) {
  ManualTimerService Timers;
  testing::NiceMock<LinksMock> Links;
  int LookupCount = 0;
  EntrySelection Selection({"agent", {"10.0.0.1:1"}}, Links, Timers,
                           [&] { ++LookupCount; });
  EXPECT_CALL(Links, connect("10.0.0.1:1")).Times(2);
  Selection.start();
  Timers.advance(seconds(1));
  EXPECT_EQ(LookupCount, 2);
  Selection.linkUp(Incarnation{1});
  Timers.advance(seconds(5));
  EXPECT_EQ(LookupCount, 2);
}
