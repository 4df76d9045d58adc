#include "core/tests/mocks/manualtimerservice.h"
#include "membership/entrymesh.h"
#include "membership/tests/mocks/entryaddresses.h"
#include "membership/tests/mocks/entryregistrymock.h"
#include "membership/tests/mocks/linksfake.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;
using testing::NiceMock;
using testing::Return;

namespace {

constexpr std::uint32_t LargeShare = 1000;
constexpr std::uint32_t SmallShare = 100;

Peer peer(const EntryAddress &Entry) {
  return {Entry.m_Name, Entry.m_Incarnation, Entry.m_Address, "", Role::Entry};
}

const EntryAddress First = address("a", 1, LargeShare);
const EntryAddress Own = address("b", 2, LargeShare);
const EntryAddress Last = address("c", 3, LargeShare);

class EntryMeshTest : public testing::Test {
protected:
  EntryMeshTest() {
    ON_CALL(m_Registry, isComplete()).WillByDefault(Return(true));
    setMembers({First, Own, Last});
  }

  void setMembers(std::vector<EntryAddress> Members) {
    ON_CALL(m_Registry, members()).WillByDefault(Return(std::move(Members)));
  }

  ManualTimerService m_Timers;
  LinksFake m_Links;
  NiceMock<EntryRegistryMock> m_Registry;
  EntryMesh m_Mesh{Own, {}, m_Registry, m_Links, m_Timers};
};

} // namespace

TEST_F(EntryMeshTest, OfTwoEntriesTheOneWithTheLowerAddressOpensTheLink) {
  m_Mesh.start();
  EXPECT_EQ(m_Links.m_Connected, std::vector<std::string>{"c:1"});
}

TEST_F(EntryMeshTest, ASmallEntryNeedsThePlacersOnly) {
  setMembers(
      {First, address("b", 2, SmallShare), Last, address("d", 4, SmallShare)});
  EntryMesh Small(address("b", 2, SmallShare), {}, m_Registry, m_Links,
                  m_Timers);
  Small.start();
  EXPECT_EQ(m_Links.m_Connected, std::vector<std::string>{"c:1"});
}

/// A restarted entry could be asked only after the next period.
TEST_F(EntryMeshTest, ALostLinkIsOpenedAgainSoon) {
  m_Mesh.start();
  m_Mesh.entryUp(peer(Last));
  m_Mesh.entryDown(peer(Last));
  m_Timers.advance(milliseconds(50));
  EXPECT_EQ(m_Links.m_Connected.size(), 2u);
}

TEST_F(EntryMeshTest, AnEntryThatDoesNotReplyIsTriedAgainSoon) {
  m_Mesh.start();
  m_Mesh.addressUnreachable("c:1");
  m_Timers.advance(milliseconds(50));
  EXPECT_EQ(m_Links.m_Connected.size(), 2u);
}

TEST_F(EntryMeshTest, HasJoinedWhenTheNeededMembersAreLinked) {
  m_Mesh.start();
  m_Mesh.entryUp(peer(First));
  EXPECT_FALSE(m_Mesh.hasJoined());
  m_Mesh.entryUp(peer(Last));
  EXPECT_TRUE(m_Mesh.hasJoined());
  m_Mesh.entryDown(peer(Last));
  EXPECT_TRUE(m_Mesh.hasJoined());
}

TEST_F(EntryMeshTest, HasNotJoinedBeforeItKnowsTheMembers) {
  ON_CALL(m_Registry, isComplete()).WillByDefault(Return(false));
  m_Mesh.start();
  m_Mesh.entryUp(peer(First));
  m_Mesh.entryUp(peer(Last));
  EXPECT_FALSE(m_Mesh.hasJoined());
}

TEST_F(EntryMeshTest, JoinsWithoutMembersThatAreDown) {
  m_Mesh.start();
  m_Timers.advance(milliseconds(1499));
  EXPECT_FALSE(m_Mesh.hasJoined());
  m_Timers.advance(milliseconds(1));
  EXPECT_TRUE(m_Mesh.hasJoined());
}
