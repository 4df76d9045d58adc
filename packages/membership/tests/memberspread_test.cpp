#include "core/tests/mocks/manualtimerservice.h"
#include "membership/memberspread.h"
#include "membership/tests/mocks/entryaddresses.h"
#include "membership/tests/mocks/linksfake.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

/// One process that spreads changes of its members.
struct SpreadPair {
  static Peer peer(const std::string &Name, std::uint64_t Number, Role Kind) {
    return {Name, {Number}, Name + ":1", "", Kind};
  }

  ManualTimerService m_Timers;
  LinksFake m_Links;
  MemberSpread m_Spread{{}, m_Links, m_Timers};
};

} // namespace

/// A cold start of the fleet: members appear one by one within a short time.
TEST(MemberSpread, collectsChangesAndSendsOnlyDifferences) {
  SpreadPair Pair;
  Pair.m_Spread.peerUp(SpreadPair::peer("entry", 100, Role::Entry));
  Pair.m_Spread.peerUp(SpreadPair::peer("agent", 200, Role::Agent));
  Pair.m_Links.m_Sent.clear();
  std::vector<EntryAddress> Members;
  for (std::uint64_t I = 1; I <= 50; ++I) {
    Members.push_back(
        address("entry-" + std::to_string(I), I, I > 40 ? 500 : 120));
    Pair.m_Spread.setMembers(Members);
  }
  Pair.m_Timers.advance(seconds(1));
  auto Lists = Pair.m_Links.sent<EntryList>();
  ASSERT_EQ(Lists.size(), 2u);
  EXPECT_EQ(Lists[0].second.m_Entries.size(), 50u);
  EXPECT_EQ(Lists[1].second.m_Entries.size(), 10u) << "the placers";
  Pair.m_Links.m_Sent.clear();
  Members.push_back(address("entry-51", 51, 120));
  Pair.m_Spread.setMembers(Members);
  Pair.m_Timers.advance(seconds(1));
  Lists = Pair.m_Links.sent<EntryList>();
  ASSERT_EQ(Lists.size(), 1u) << "the placers have not changed";
  EXPECT_EQ(Lists[0].second.m_Entries.size(), 1u);
}

TEST(MemberSpread, SaysWhetherItsListIsComplete) {
  SpreadPair Pair;
  Pair.m_Spread.setMembers({address("entry-1", 1)});
  Pair.m_Timers.advance(seconds(1));
  Pair.m_Spread.peerUp(SpreadPair::peer("entry", 100, Role::Entry));
  EXPECT_FALSE(Pair.m_Links.sent<EntryList>().back().second.m_IsComplete);
  Pair.m_Spread.setComplete();
  Pair.m_Timers.advance(seconds(1));
  EXPECT_TRUE(Pair.m_Links.sent<EntryList>().back().second.m_IsComplete);
  EXPECT_EQ(Pair.m_Links.sent<EntryList>().back().second.m_Entries.size(), 1u);
  Pair.m_Spread.setMembers({address("entry-1", 1), address("entry-2", 2)});
  Pair.m_Timers.advance(seconds(1));
  EXPECT_FALSE(Pair.m_Links.sent<EntryList>().back().second.m_IsComplete)
      << "a difference";
  Pair.m_Spread.peerUp(SpreadPair::peer("late", 101, Role::Entry));
  EXPECT_TRUE(Pair.m_Links.sent<EntryList>().back().second.m_IsComplete);
  EXPECT_EQ(Pair.m_Links.sent<EntryList>().back().second.m_Entries.size(), 2u);
}
