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

EntryRowCodec plainCodec() {
  auto Encode = [](const EntryRow &Value) {
    std::ostringstream Out;
    Out << Value.m_Address.m_Name << ' '
        << Value.m_Address.m_Incarnation.m_Value << ' ' << Value.m_Renewals;
    return Out.str();
  };
  auto Decode = [](const std::string &Text) -> std::optional<EntryRow> {
    std::istringstream In(Text);
    std::string Name;
    std::uint64_t Number = 0;
    EntryRow Value;
    if (!(In >> Name >> Number >> Value.m_Renewals))
      return std::nullopt;
    Value.m_Address = address(Name, Number);
    return Value;
  };
  return {Encode, Decode};
}

class RegistryTest : public testing::Test {
protected:
  std::unique_ptr<EntryRegistry> make(const std::string &Name,
                                      std::uint64_t Number) {
    auto Made = std::make_unique<EntryRegistry>(
        address(Name, Number), RegistrySettings{}, plainCodec(), m_Charts,
        m_Platform, m_Timers);
    Made->start([this](const auto &) { ++m_Changes; });
    m_Platform.answerAll();
    return Made;
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
  int m_Changes = 0;
};

} // namespace

TEST_F(RegistryTest, membersFindEachOtherAndLapse) {
  auto First = make("entry-1", 1);
  auto Second = make("entry-2", 2);
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

TEST_F(RegistryTest, leavingEntryIsGoneAtOnce) {
  auto First = make("entry-1", 1);
  auto Second = make("entry-2", 2);
  advance(seconds(3));
  Second->leave();
  EXPECT_EQ(Second->members().size(), 1u);
  advance(seconds(3));
  EXPECT_EQ(First->members().size(), 1u);
}

TEST_F(RegistryTest, storeOutageKeepsNobodyOutWhoIsKnownFromPeers) {
  auto First = make("entry-1", 1);
  EXPECT_TRUE(First->isStoreAnswering());
  m_Platform.m_Fault = StoreFake::Fault::Down;
  advance(seconds(3));
  EXPECT_FALSE(First->isStoreAnswering());
  First->learn({address("entry-2", 2)});
  EXPECT_EQ(First->members().size(), 2u);
  m_Platform.m_Fault = StoreFake::Fault::None;
  advance(seconds(3));
  EXPECT_TRUE(First->isStoreAnswering());
}

// An entry that is replaced during an outage has a row of its predecessor.
TEST_F(RegistryTest, replacedEntryIsHeardDuringAnOutage) {
  auto First = make("entry-1", 1);
  auto Second = make("entry-2", 2);
  advance(seconds(3));
  m_Platform.m_Fault = StoreFake::Fault::Down;
  Second.reset();
  First->hear(address("entry-2", 3));
  ASSERT_EQ(First->members().size(), 2u);
  EXPECT_EQ(First->members()[1].m_Incarnation, Incarnation{3});
  // What another entry says is older than what the entry itself said.
  First->learn({address("entry-2", 2)});
  EXPECT_EQ(First->members()[1].m_Incarnation, Incarnation{3});
  advance(seconds(11));
  EXPECT_EQ(First->members().size(), 1u);
  First->learn({address("entry-2", 4)});
  EXPECT_EQ(First->members().size(), 2u);
}

TEST(EntrySelection, linksToASubsetAndMovesFewLinksOnChange) {
  ManualTimerService Timers;
  std::vector<EntryAddress> Entries;
  for (std::uint64_t I = 1; I <= 10; ++I)
    Entries.push_back(address("entry-" + std::to_string(I), I * 7919));
  int Moved = 0;
  for (int Agent = 0; Agent < 100; ++Agent) {
    testing::NiceMock<LinksMock> Links;
    std::set<std::string> Connected;
    ON_CALL(Links, connect(_)).WillByDefault([&](const std::string &Address) {
      Connected.insert(Address);
    });
    EntrySelection Selection({"agent-" + std::to_string(Agent), {}, 2}, Links,
                             Timers, [] {});
    Selection.offer(Entries);
    ASSERT_EQ(Connected.size(), 2u);
    auto Fewer = Entries;
    Fewer.pop_back();
    auto Before = Connected;
    Connected.clear();
    Selection.offer(Fewer);
    Moved += Connected != Before;
  }
  // Only agents that were linked to the entry that went move: about 2 in 10.
  EXPECT_LE(Moved, 40);
  EXPECT_GE(Moved, 1);
}

TEST(EntrySelection, fallsBackToSeedsAndStoreWhileUnlinked) {
  ManualTimerService Timers;
  testing::NiceMock<LinksMock> Links;
  int Lookups = 0;
  EntrySelection Selection({"agent", {"10.0.0.1:1"}}, Links, Timers,
                           [&] { ++Lookups; });
  EXPECT_CALL(Links, connect("10.0.0.1:1")).Times(2);
  Selection.start();
  Timers.advance(seconds(1));
  EXPECT_EQ(Lookups, 2);
  Selection.linkUp(Incarnation{1});
  Timers.advance(seconds(5));
  EXPECT_EQ(Lookups, 2);
}
