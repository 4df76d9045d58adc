#include "batch/tests/mocks/batchservicemock.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "forward/joblookupmodule.h"
#include "membership/tests/mocks/linksfake.h"
#include "statechart/chartfolder.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace cyclamenwalk;
using testing::_;
using testing::NiceMock;
using testing::Return;

namespace {

constexpr Incarnation Self{1};
constexpr Incarnation Second{2};
constexpr Incarnation Third{3};
constexpr Duration Within = milliseconds(3750);
constexpr const char *Name = "00000000000000a1";

Peer entry(Incarnation Id) {
  std::string Number = std::to_string(Id.m_Value);
  return {"entry-" + Number, Id, "10.0.0." + Number + ":1", "z", Role::Entry};
}

/// An entry whose peers are simulated by the test.
class JobLookupTest : public testing::Test {
protected:
  JobLookupTest()
      : m_Lookup(makeJobLookup(
            Self, {},
            {[this] { return m_View; }, [this] { ++m_Refreshes; },
             [this](const std::string &Job) { m_Refused.push_back(Job); }},
            {m_Charts, m_Jobs, m_Links, m_Timers})) {
    m_View.m_IsComplete = true;
    m_View.m_Members = {Self};
  }

  void addMembers(const std::vector<Incarnation> &Ids) {
    m_View.m_Members.insert(Ids.begin(), Ids.end());
  }

  void link(const std::vector<Incarnation> &Ids) {
    for (Incarnation Id : Ids)
      m_Lookup->entryUp(entry(Id));
  }

  void cancel() {
    m_Lookup->cancel(Name, Within,
                     [this](ResultCode Code) { m_Codes.push_back(Code); });
  }

  void receive(Incarnation From, Message Body) {
    EXPECT_TRUE(m_Lookup->receive(From, Body));
  }

  /// The asked entry answers the question with that index.
  void reply(std::size_t Index, bool WasFound) {
    auto Question = questions().at(Index);
    receive(Question.first,
            FindJobReply{Question.second.m_Request, Question.second.m_Asker,
                         Question.second.m_Asked, WasFound});
  }

  std::vector<std::pair<Incarnation, FindJob>> questions() const {
    return m_Links.sent<FindJob>();
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  NiceMock<BatchServiceMock> m_Jobs;
  LinksFake m_Links;
  ManualTimerService m_Timers;
  MemberView m_View;
  int m_Refreshes = 0;
  std::vector<std::string> m_Refused;
  std::unique_ptr<IJobLookup> m_Lookup;
  std::vector<ResultCode> m_Codes;
};

} // namespace

TEST_F(JobLookupTest, SaysThatNoEntryRunsTheJobWhenAllHaveSaidSo) {
  addMembers({Second, Third});
  link({Second, Third});
  cancel();
  ASSERT_EQ(questions().size(), 2u);
  reply(0, false);
  EXPECT_TRUE(m_Codes.empty());
  reply(1, false);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::JobNotKnown});
}

TEST_F(JobLookupTest, SaysThatTheJobIsCancelledAtTheFirstWord) {
  addMembers({Second, Third});
  link({Second, Third});
  cancel();
  reply(1, true);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::Ok});
  reply(0, true);
  EXPECT_EQ(m_Codes.size(), 1u);
}

/// A cancel at an entry that was just restarted was answered 410.
TEST_F(JobLookupTest, AnEntryWithoutLinksDoesNotSayThatNoEntryRunsTheJob) {
  addMembers({Second});
  cancel();
  m_Timers.advance(seconds(1));
  EXPECT_TRUE(m_Codes.empty());
  link({Second});
  ASSERT_EQ(questions().size(), 1u);
  reply(0, true);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::Ok});
}

/// The same, before the members were read.
TEST_F(JobLookupTest, AnEntryThatDoesNotKnowTheMembersWaitsForThem) {
  m_View.m_IsComplete = false;
  cancel();
  m_Timers.advance(seconds(1));
  EXPECT_TRUE(m_Codes.empty());
  EXPECT_GT(m_Refreshes, 0);
  m_View.m_IsComplete = true;
  m_Timers.advance(milliseconds(200));
  EXPECT_EQ(m_Codes, std::vector{ResultCode::JobNotKnown});
}

/// Guards against an entry that cannot end, and answers nobody meanwhile,
/// because a cancel waits for a member that does not reply.
TEST_F(JobLookupTest, AnEntryThatLeavesAnswersTheCancelsThatWait) {
  addMembers({Second});
  link({Second});
  cancel();
  m_Lookup->close();
  EXPECT_EQ(m_Codes, std::vector{ResultCode::LookupIncomplete});
  cancel();
  EXPECT_EQ(m_Codes.size(), 2u);
  reply(0, false);
  m_Timers.advance(Within);
  EXPECT_EQ(m_Codes.size(), 2u);
}

/// Cancels whose owner was frozen were answered 410 after 500 ms.
TEST_F(JobLookupTest, SilenceIsNoDenial) {
  addMembers({Second, Third});
  link({Second, Third});
  cancel();
  reply(1, false);
  m_Timers.advance(milliseconds(3749));
  EXPECT_TRUE(m_Codes.empty());
  m_Timers.advance(milliseconds(1));
  EXPECT_EQ(m_Codes, std::vector{ResultCode::LookupIncomplete});
  EXPECT_EQ(outcomeOf(ResultCode::LookupIncomplete), Outcome::OutcomeUnknown);
}

TEST_F(JobLookupTest, ALostEntryIsAskedAgainWhenItIsBack) {
  addMembers({Second});
  link({Second});
  cancel();
  m_Lookup->entryDown(entry(Second));
  m_Timers.advance(seconds(2));
  EXPECT_TRUE(m_Codes.empty()) << "a lost link is no answer";
  link({Second});
  ASSERT_EQ(questions().size(), 2u);
  reply(1, true);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::Ok});
}

TEST_F(JobLookupTest, AMemberThatIsKnownToBeGoneIsNotWaitedFor) {
  addMembers({Second, Third});
  link({Second});
  cancel();
  reply(0, false);
  EXPECT_TRUE(m_Codes.empty());
  m_View.m_Members.erase(Third);
  m_Timers.advance(milliseconds(200));
  EXPECT_EQ(m_Codes, std::vector{ResultCode::JobNotKnown});
}

/// Entries that place no jobs have no links to each other.
TEST_F(JobLookupTest, AsksAMemberWithoutALinkThroughAnotherEntry) {
  addMembers({Second, Third});
  link({Second});
  cancel();
  ASSERT_EQ(questions().size(), 2u);
  EXPECT_EQ(questions()[0].second.m_Asked, Second);
  EXPECT_EQ(questions()[1].first, Second);
  EXPECT_EQ(questions()[1].second.m_Asked, Third);
  reply(0, false);
  EXPECT_TRUE(m_Codes.empty());
  reply(1, true);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::Ok});
}

TEST_F(JobLookupTest, TriesOtherEntriesThatMayPassTheQuestionOn) {
  constexpr Incarnation Fourth{4};
  addMembers({Second, Third, Fourth});
  link({Second, Third});
  cancel();
  m_Timers.advance(milliseconds(200));
  std::set<Incarnation> Relays;
  for (const auto &Question : questions())
    if (Question.second.m_Asked == Fourth)
      Relays.insert(Question.first);
  EXPECT_EQ(Relays, (std::set{Second, Third}));
}

TEST_F(JobLookupTest, PassesQuestionsAndRepliesOn) {
  link({Second, Third});
  receive(Second, FindJob{7, Second, Third, Name, true});
  ASSERT_EQ(questions().size(), 1u);
  EXPECT_EQ(questions()[0].first, Third);
  EXPECT_TRUE(m_Refused.empty()) << "it wasn't asked itself";
  receive(Third, FindJobReply{7, Second, Third, true});
  auto Replies = m_Links.sent<FindJobReply>();
  ASSERT_EQ(Replies.size(), 1u);
  EXPECT_EQ(Replies[0].first, Second);
  EXPECT_TRUE(Replies[0].second.m_WasFound);
}

TEST_F(JobLookupTest, AnAskedEntryCancelsAndRefusesTheJob) {
  link({Second});
  EXPECT_CALL(m_Jobs, cancel(Name)).WillOnce(Return(true));
  receive(Second, FindJob{7, Second, Self, Name, true});
  auto Replies = m_Links.sent<FindJobReply>();
  ASSERT_EQ(Replies.size(), 1u);
  EXPECT_TRUE(Replies[0].second.m_WasFound);
  EXPECT_EQ(m_Refused, std::vector<std::string>{Name});
}

/// A job that was sent twice runs at two entries.
TEST_F(JobLookupTest, CancelsTheJobAtEveryEntry) {
  addMembers({Second, Third});
  link({Second});
  EXPECT_CALL(m_Jobs, cancel(Name)).WillOnce(Return(true));
  cancel();
  EXPECT_EQ(m_Codes, std::vector{ResultCode::Ok});
  EXPECT_EQ(questions().size(), 2u);
  link({Third});
  EXPECT_EQ(questions().size(), 3u);
  EXPECT_EQ(questions()[2].first, Third);
  m_Timers.advance(Within);
  EXPECT_EQ(m_Codes.size(), 1u);
}

TEST_F(JobLookupTest, FindsAJobThatAnotherEntryRuns) {
  addMembers({Second});
  link({Second});
  EXPECT_CALL(m_Jobs, cancel(_)).Times(0);
  m_Lookup->find(Name, Within,
                 [this](ResultCode Code) { m_Codes.push_back(Code); });
  ASSERT_EQ(questions().size(), 1u);
  EXPECT_FALSE(questions()[0].second.m_Cancels);
  reply(0, true);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::Ok});
  EXPECT_TRUE(m_Refused.empty());
}

TEST_F(JobLookupTest, AnAskedEntryTellsOfAJobWithoutCancellingIt) {
  link({Second});
  EXPECT_CALL(m_Jobs, cancel(_)).Times(0);
  EXPECT_CALL(m_Jobs, isRunning(Name)).WillOnce(Return(true));
  receive(Second, FindJob{7, Second, Self, Name, false});
  ASSERT_EQ(m_Links.sent<FindJobReply>().size(), 1u);
  EXPECT_TRUE(m_Links.sent<FindJobReply>()[0].second.m_WasFound);
}

namespace {

/// Entries of which some are linked; messages are delivered by deliverAll().
class JobLookupNetTest : public testing::Test {
protected:
  struct Node {
    NiceMock<BatchServiceMock> m_Jobs;
    LinksFake m_Links;
    std::unique_ptr<IJobLookup> m_Lookup;
  };

  void addNode(Incarnation Id) {
    Node &Added = m_Nodes[Id];
    m_Members.m_Members.insert(Id);
    m_Members.m_IsComplete = true;
    Added.m_Lookup = makeJobLookup(
        Id, {},
        {[this] { return m_Members; }, [] {}, [](const std::string &) {}},
        {m_Charts, Added.m_Jobs, Added.m_Links, m_Timers});
  }

  void link(Incarnation First, Incarnation Second) {
    m_Nodes.at(First).m_Lookup->entryUp(entry(Second));
    m_Nodes.at(Second).m_Lookup->entryUp(entry(First));
  }

  void deliverAll() {
    bool HasDelivered = true;
    while (HasDelivered) {
      HasDelivered = false;
      for (auto &Item : m_Nodes) {
        auto Messages = std::move(Item.second.m_Links.m_Sent);
        Item.second.m_Links.m_Sent.clear();
        for (auto &Addressed : Messages) {
          HasDelivered = true;
          m_Nodes.at(Addressed.first)
              .m_Lookup->receive(Item.first, Addressed.second);
        }
      }
    }
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  MemberView m_Members;
  std::map<Incarnation, Node> m_Nodes;
};

} // namespace

/// Two small entries are linked with the placers only; one owns a job.
TEST_F(JobLookupNetTest, ACancelReachesASmallEntryThroughAPlacer) {
  constexpr Incarnation FirstSmall{1};
  constexpr Incarnation SecondSmall{2};
  constexpr Incarnation FirstPlacer{3};
  constexpr Incarnation SecondPlacer{4};
  for (Incarnation Id : {FirstSmall, SecondSmall, FirstPlacer, SecondPlacer})
    addNode(Id);
  link(FirstPlacer, SecondPlacer);
  link(FirstSmall, FirstPlacer);
  link(FirstSmall, SecondPlacer);
  link(SecondSmall, SecondPlacer);
  EXPECT_CALL(m_Nodes.at(SecondSmall).m_Jobs, cancel(Name))
      .WillOnce(Return(true))
      .WillRepeatedly(Return(false));
  std::vector<ResultCode> Codes;
  auto Record = [&Codes](ResultCode Code) { Codes.push_back(Code); };
  m_Nodes.at(FirstSmall).m_Lookup->cancel(Name, Within, Record);
  deliverAll();
  EXPECT_TRUE(Codes.empty()) << "the first placer has no link to it";
  m_Timers.advance(milliseconds(200));
  deliverAll();
  EXPECT_EQ(Codes, std::vector{ResultCode::Ok});
  m_Nodes.at(FirstSmall).m_Lookup->cancel(Name, Within, Record);
  m_Timers.advance(milliseconds(200));
  deliverAll();
  EXPECT_EQ(Codes, (std::vector{ResultCode::Ok, ResultCode::JobNotKnown}));
}
