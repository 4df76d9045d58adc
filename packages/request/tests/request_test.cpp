#include "core/tests/mocks/manualtimerservice.h"
#include "job/tests/mocks/jobservicemock.h"
#include "request/requestmodule.h"
#include "statechart/chartfolder.h"
#include "store/tests/mocks/storefake.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;
using Fault = StoreFake::Fault;

namespace {

ClaimRowCodec plainCodec() {
  return {[](const ClaimRow &Value) { return toString(Value.m_Job); },
          [](const std::string &Text) -> std::optional<ClaimRow> {
            auto Id = parseJobId(Text);
            if (!Id)
              return std::nullopt;
            return ClaimRow{*Id};
          }};
}

/// The requests and jobs of one entry.
struct Door {
  Door(std::uint64_t Number, StoreFake &Platform, ManualTimerService &Timers)
      : m_Own{Number}, m_Jobs(m_Own),
        m_Requests(makeRequestService(
            m_Own, RequestSettings{}, plainCodec(),
            [this](JobId Id, const JobCallback &Done) { fetch(Id, Done); },
            {m_Charts, m_Jobs, Platform, Timers})) {}

  void fetch(JobId Id, const JobCallback &Done) {
    if (!m_Other || !m_Other->m_Jobs.wait(Id, Done))
      Done({Id, ResultCode::OwnerLost, "", {}});
  }

  void submit(const std::string &Key, bool IsRepeatable = false,
              std::optional<TicketId> Ticket = std::nullopt) {
    Submission Incoming;
    Incoming.m_Spec.m_Team = "vending";
    Incoming.m_IsRepeatable = IsRepeatable;
    Incoming.m_IdempotencyKey = Key;
    Incoming.m_Ticket = Ticket;
    m_Requests->submit(Incoming, nullptr, [this](const JobAnswer &Whole) {
      m_Answers.push_back(Whole);
    });
  }

  ResultCode lastCode() const {
    return m_Answers.empty() ? ResultCode::Internal : m_Answers.back().m_Code;
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  Incarnation m_Own;
  JobServiceFake m_Jobs;
  std::unique_ptr<IRequestService> m_Requests;
  std::vector<JobAnswer> m_Answers;
  Door *m_Other = nullptr;
};

class RequestTest : public testing::Test {
protected:
  RequestTest() {
    m_First.m_Other = &m_Second;
    m_Second.m_Other = &m_First;
  }

  void advance(Duration Span) {
    for (Duration Left = Span; Left > Duration::zero();
         Left -= milliseconds(10)) {
      m_Timers.advance(milliseconds(10));
      m_Platform.answerAll();
    }
  }

  ManualTimerService m_Timers;
  StoreFake m_Platform;
  Door m_First{1, m_Platform, m_Timers};
  Door m_Second{2, m_Platform, m_Timers};
};

} // namespace

TEST_F(RequestTest, unrepeatableRequestNeedsTicketOrKey) {
  m_First.submit("");
  EXPECT_EQ(m_First.lastCode(), ResultCode::MissingIdempotency);
  m_First.submit("", true);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 1);
}

TEST_F(RequestTest, ticketRunsOnceAndRepetitionsJoin) {
  m_Platform.m_Fault = Fault::Down;
  auto Ticket = m_First.m_Requests->issueTicket();
  ASSERT_TRUE(Ticket);
  m_First.submit("", false, Ticket);
  m_First.submit("", false, Ticket);
  m_First.m_Jobs.endAll(ResultCode::Ok);
  m_First.submit("", false, Ticket);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 1);
  ASSERT_EQ(m_First.m_Answers.size(), 3u);
  for (const JobAnswer &Whole : m_First.m_Answers)
    EXPECT_EQ(Whole.m_Job, m_First.m_Answers[0].m_Job);
}

TEST_F(RequestTest, ticketOfAnotherRunOrThatExpiredIsRefused) {
  m_First.submit("", false, TicketId{Incarnation{9}, 1});
  EXPECT_EQ(m_First.lastCode(), ResultCode::UnknownTicket);
  auto Ticket = m_First.m_Requests->issueTicket();
  m_Timers.advance(seconds(601));
  m_First.submit("", false, Ticket);
  EXPECT_EQ(m_First.lastCode(), ResultCode::UnknownTicket);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 0);
}

TEST_F(RequestTest, ticketWhoseJobDidNotRunIsGoodAgain) {
  auto Ticket = m_First.m_Requests->issueTicket();
  m_First.submit("", false, Ticket);
  m_First.m_Jobs.endAll(ResultCode::DeadlineBeforeStart);
  m_First.submit("", false, Ticket);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 2);
}

TEST_F(RequestTest, keyRunsOnceOverTwoEntries) {
  m_First.submit("k");
  m_Second.submit("k");
  advance(milliseconds(50));
  EXPECT_EQ(m_First.m_Jobs.m_Runs + m_Second.m_Jobs.m_Runs, 1);
  m_First.m_Jobs.endAll(ResultCode::Ok);
  m_Second.m_Jobs.endAll(ResultCode::Ok);
  EXPECT_EQ(m_First.lastCode(), ResultCode::Ok);
  EXPECT_EQ(m_Second.lastCode(), ResultCode::Ok);
  EXPECT_EQ(m_First.m_Answers[0].m_Job, m_Second.m_Answers[0].m_Job);
}

TEST_F(RequestTest, keyThatComesTwiceAtOnceRunsOnce) {
  m_First.submit("k");
  m_First.submit("k");
  advance(milliseconds(100));
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 1);
  m_First.m_Jobs.endAll(ResultCode::Ok);
  EXPECT_EQ(m_First.m_Answers.size(), 2u);
}

TEST_F(RequestTest, keyOfAnEntryThatIsGoneIsOutcomeUnknown) {
  m_First.submit("k");
  advance(milliseconds(50));
  m_Second.m_Other = nullptr;
  m_Second.submit("k");
  advance(milliseconds(50));
  EXPECT_EQ(m_Second.lastCode(), ResultCode::OwnerLost);
  EXPECT_EQ(m_Second.m_Jobs.m_Runs, 0);
}

TEST_F(RequestTest, claimWhoseReplyWasLostIsReadBack) {
  m_Platform.m_Fault = Fault::ReplyLost;
  m_First.submit("k");
  m_Timers.advance(milliseconds(10));
  m_Platform.answerAll();
  m_Platform.m_Fault = Fault::None;
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 0);
  advance(seconds(1));
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 1);
}

TEST_F(RequestTest, storeOutageRefusesAsNotRun) {
  m_Platform.m_Fault = Fault::Down;
  m_First.submit("k");
  advance(seconds(3));
  EXPECT_EQ(m_First.lastCode(), ResultCode::ClaimUnavailable);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 0);
}

TEST_F(RequestTest, refusedJobLeavesTheKeyFree) {
  m_First.m_Jobs.m_Precheck = ResultCode::DeadlineUnreachable;
  m_First.submit("k");
  EXPECT_EQ(m_First.lastCode(), ResultCode::DeadlineUnreachable);
  m_First.m_Jobs.m_Precheck = ResultCode::Ok;
  m_First.submit("k");
  advance(milliseconds(50));
  m_First.m_Jobs.endAll(ResultCode::DeadlineBeforeStart);
  advance(milliseconds(50));
  m_Second.submit("k");
  advance(milliseconds(50));
  EXPECT_EQ(m_Second.m_Jobs.m_Runs, 1);
}

TEST_F(RequestTest, claimsAreCommittedTogetherAndOneConflictHoldsNoOtherUp) {
  m_First.submit("taken");
  advance(milliseconds(50));
  std::size_t Before = m_Platform.calls();
  m_Second.submit("taken");
  for (int I = 0; I < 50; ++I)
    m_Second.submit("k" + std::to_string(I));
  advance(milliseconds(100));
  EXPECT_EQ(m_Second.m_Jobs.m_Runs, 50);
  // One write with the conflict, one without, one read.
  EXPECT_EQ(m_Platform.calls() - Before, 3u);
}

// Two entries, few keys, any faults of the store: a key runs at most once.
TEST(RequestProperties, keyRunsAtMostOnce) {
  EXPECT_TRUE(rc::check("at most once", [] {
    ManualTimerService Timers;
    StoreFake Platform;
    Door First(1, Platform, Timers);
    Door Second(2, Platform, Timers);
    First.m_Other = &Second;
    Second.m_Other = &First;
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    for (int Step : Steps) {
      if (Step < 2)
        (Step ? First : Second).submit("k");
      else if (Step < 5)
        Platform.m_Fault = static_cast<Fault>(Step - 2);
      else if (Step == 5)
        Timers.advance(milliseconds(100));
      else
        Platform.answerOne();
    }
    Platform.m_Fault = Fault::None;
    for (int I = 0; I < 50; ++I) {
      Platform.answerAll();
      Timers.advance(milliseconds(100));
    }
    RC_ASSERT(First.m_Jobs.m_Runs + Second.m_Jobs.m_Runs <= 1);
  }));
}
