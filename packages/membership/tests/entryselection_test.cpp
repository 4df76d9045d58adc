#include "core/tests/mocks/manualtimerservice.h"
#include "membership/internal/entryselection.h"
#include "membership/tests/mocks/entryaddresses.h"
#include "membership/tests/mocks/linksmock.h"

#include <gtest/gtest.h>
#include <set>

using namespace cyclamenwalk;
using testing::_;

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
    EntrySelection Selection({"agent-" + std::to_string(Agent), {}, 2},
                             {[] {}, nullptr, selectAllEntries}, Links, Timers);
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
  EntrySelection Selection({"agent", {"10.0.0.1:1"}},
                           {[&] { ++LookupCount; }, nullptr, selectAllEntries},
                           Links, Timers);
  EXPECT_CALL(Links, connect("10.0.0.1:1")).Times(2);
  Selection.start();
  Timers.advance(seconds(1));
  EXPECT_EQ(LookupCount, 2);
  Selection.linkUp({"entry", Incarnation{1}, "10.0.0.1:1", "", Role::Entry});
  Timers.advance(seconds(5));
  EXPECT_EQ(LookupCount, 2);
}

// Guards against an agent that keeps to the addresses it was started with after
// all of them have been replaced.
TEST(EntrySelection, newSeedsAreUsedForTheNextConnections) {
  ManualTimerService Timers;
  testing::NiceMock<LinksMock> Links;
  EntrySelection Selection({"agent", {"10.0.0.1:1"}},
                           {[] {}, nullptr, selectAllEntries}, Links, Timers);
  EXPECT_CALL(Links, connect("10.0.0.1:1")).Times(1);
  EXPECT_CALL(Links, connect("10.0.0.2:1")).Times(1);
  Selection.start();
  Selection.setSeeds({"10.0.0.2:1"});
  Timers.advance(seconds(1));
}

TEST(Placers, areTheEntriesOfAtLeastHalfOfTheLargestShare) {
  auto Members = {address("a", 1, 500), address("b", 2, 120),
                  address("c", 3, 250)};
  auto Placers = selectLargeEntries(Members);
  ASSERT_EQ(Placers.size(), 2u);
  EXPECT_EQ(Placers[1].m_Name, "c");
  EXPECT_EQ(selectLargeEntries({address("a", 1), address("b", 2)}).size(), 2u)
      << "without known shares all are placers";
}

namespace {

class SelectionTest : public testing::Test {
protected:
  SelectionTest() {
    ON_CALL(m_Links, connect(_)).WillByDefault([&](const std::string &Address) {
      m_Connected.insert(Address);
    });
    m_Selection.setEntries(
        {address("large-1", 1, 500), address("large-2", 2, 500),
         address("small-1", 3, 120), address("small-2", 4, 120)});
  }

  static SelectionSettings settings() { return {"agent", {}, 2}; }

  void linkUp(const std::string &Name, std::uint64_t Number) {
    m_Selection.linkUp({Name, {Number}, Name + ":1", "", Role::Entry});
  }

  ManualTimerService m_Timers;
  testing::NiceMock<LinksMock> m_Links;
  std::set<std::string> m_Connected;
  std::vector<Incarnation> m_Released;
  EntrySelection m_Selection{
      settings(),
      {[] {}, [this](Incarnation Entry) { m_Released.push_back(Entry); },
       selectLargeEntries},
      m_Links,
      m_Timers};
};

} // namespace

TEST_F(SelectionTest, takesPlacersFirst) {
  EXPECT_EQ(m_Connected, (std::set<std::string>{"large-1:1", "large-2:1"}));
}

TEST_F(SelectionTest, takesOthersWhileAPlacerDoesNotReply) {
  m_Selection.start();
  linkUp("large-1", 1);
  m_Connected.clear();
  m_Selection.addressUnreachable("large-2:1");
  m_Selection.addressUnreachable("large-2:1");
  m_Timers.advance(seconds(1));
  ASSERT_GE(m_Connected.size(), 1u);
  EXPECT_TRUE(m_Connected.begin()->starts_with("small"));
}

/// An entry that has just started knows few others.
TEST_F(SelectionTest, keepsItsLinksWhenAnEntryKnowsFewOthers) {
  m_Selection.start();
  linkUp("large-1", 1);
  linkUp("large-2", 2);
  m_Timers.advance(seconds(10));
  m_Selection.addEntries(
      {address("large-2", 7, 500), address("small-1", 3, 120)});
  m_Timers.advance(seconds(10));
  EXPECT_TRUE(m_Released.empty());
  EXPECT_EQ(m_Selection.entries().size(), 4u);
}

TEST_F(SelectionTest, keepsALinkThatIsUnselectedForAMoment) {
  m_Selection.start();
  linkUp("large-1", 1);
  linkUp("large-2", 2);
  linkUp("small-1", 3);
  linkUp("small-2", 4);
  m_Selection.addressUnreachable("large-2:1");
  m_Timers.advance(seconds(2));
  EXPECT_TRUE(m_Released.empty());
}

TEST_F(SelectionTest, triesAnUnreachableEntryLessAndLessOften) {
  m_Selection.start();
  std::size_t Attempts = 0;
  ON_CALL(m_Links, connect("large-2:1")).WillByDefault([&](const auto &) {
    ++Attempts;
    m_Selection.addressUnreachable("large-2:1");
  });
  m_Timers.advance(seconds(30));
  EXPECT_LE(Attempts, 7u);
  EXPECT_GE(Attempts, 4u);
  EXPECT_EQ(m_Selection.entries().size(), 4u);
  m_Timers.advance(seconds(60));
  EXPECT_EQ(m_Selection.entries().size(), 3u) << "it is forgotten";
}

TEST_F(SelectionTest, releasesOtherLinksOnceAllSelectedAreUp) {
  m_Selection.start();
  linkUp("small-1", 3);
  linkUp("large-1", 1);
  m_Timers.advance(seconds(5));
  EXPECT_TRUE(m_Released.empty()) << "one selected entry is not linked";
  linkUp("large-2", 2);
  m_Timers.advance(seconds(5));
  EXPECT_EQ(m_Released, std::vector{Incarnation{3}});
}

TEST_F(SelectionTest, agentsOfOneGroupSelectTheSameEntries) {
  std::vector<EntryAddress> Entries;
  for (std::uint64_t I = 1; I <= 15; ++I)
    Entries.push_back(address("entry-" + std::to_string(I), I, 500));
  std::set<std::set<std::string>> Selections;
  for (const char *Agent : {"a", "b", "c", "d"}) {
    m_Connected.clear();
    EntrySelection Selection({Agent, {}, 4}, {[] {}, nullptr}, m_Links,
                             m_Timers);
    Selection.setGroup("rack-1");
    Selection.setEntries(Entries);
    Selections.insert(m_Connected);
  }
  EXPECT_EQ(Selections.size(), 1u);
}
