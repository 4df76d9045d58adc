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

/// An entry with its request service and a fake job service.
struct TestEntry {
  TestEntry(std::uint64_t Number, StoreFake &Store, ManualTimerService &Timers)
      : m_Entry{Number}, m_Jobs(m_Entry),
        m_Requests(makeRequestService(
            m_Entry, RequestSettings{}, plainCodec(),
            [this](JobId Id, const JobCallback &Done) { fetch(Id, Done); },
            {m_Charts, m_Jobs, Store, Timers})) {}

  void fetch(JobId Id, const JobCallback &Done) {
    if (!m_Peer || !m_Peer->m_Jobs.wait(Id, Done))
      Done({Id, ResultCode::OwnerLost, "", {}});
  }

  void submit(const std::string &Key, bool IsRepeatable = false,
              std::optional<TicketId> Ticket = std::nullopt) {
    Submission Incoming;
    Incoming.m_Spec.m_Team = "vending";
    Incoming.m_IsRepeatable = IsRepeatable;
    Incoming.m_IdempotencyKey = Key;
    Incoming.m_Ticket = Ticket;
    m_Requests->submit(Incoming, nullptr, [this](const JobAnswer &Answer) {
      m_Answers.push_back(Answer);
    });
  }

  ResultCode lastCode() const {
    return m_Answers.empty() ? ResultCode::Internal : m_Answers.back().m_Code;
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  Incarnation m_Entry;
  JobServiceFake m_Jobs;
  std::unique_ptr<IRequestService> m_Requests;
  std::vector<JobAnswer> m_Answers;
  TestEntry *m_Peer = nullptr;
};

class RequestTest : public testing::Test {
protected:
  RequestTest() {
    m_First.m_Peer = &m_Second;
    m_Second.m_Peer = &m_First;
  }

  void advance(Duration Span) {
    for (Duration Left = Span; Left > Duration::zero();
         Left -= milliseconds(10)) {
      m_Timers.advance(milliseconds(10));
      m_Store.answerAll();
    }
  }

  ManualTimerService m_Timers;
  StoreFake m_Store;
  TestEntry m_First{1, m_Store, m_Timers};
  TestEntry m_Second{2, m_Store, m_Timers};
};

} // namespace

TEST_F(RequestTest, nonRepeatableRequestRequiresTicketOrKey) {
  m_First.submit("");
  EXPECT_EQ(m_First.lastCode(), ResultCode::MissingIdempotency);
  m_First.submit("", true);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 1);
}

TEST_F(RequestTest, ticketRunsOnceAndRepetitionsJoinTheRun) {
  m_Store.m_Fault = Fault::Down;
  auto Ticket = m_First.m_Requests->issueTicket();
  ASSERT_TRUE(Ticket);
  m_First.submit("", false, Ticket);
  m_First.submit("", false, Ticket);
  m_First.m_Jobs.endAll(ResultCode::Ok);
  m_First.submit("", false, Ticket);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 1);
  ASSERT_EQ(m_First.m_Answers.size(), 3u);
  for (const JobAnswer &Answer : m_First.m_Answers)
    EXPECT_EQ(Answer.m_Job, m_First.m_Answers[0].m_Job);
}

TEST_F(RequestTest, foreignOrExpiredTicketIsRefused) {
  m_First.submit("", false, TicketId{Incarnation{9}, 1});
  EXPECT_EQ(m_First.lastCode(), ResultCode::UnknownTicket);
  auto Ticket = m_First.m_Requests->issueTicket();
  m_Timers.advance(seconds(601));
  m_First.submit("", false, Ticket);
  EXPECT_EQ(m_First.lastCode(), ResultCode::UnknownTicket);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 0);
}

TEST_F(RequestTest, ticketWhoseJobDidNotRunIsValidAgain) {
  auto Ticket = m_First.m_Requests->issueTicket();
  m_First.submit("", false, Ticket);
  m_First.m_Jobs.endAll(ResultCode::DeadlineBeforeStart);
  m_First.submit("", false, Ticket);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 2);
}

TEST_F(RequestTest, keySubmittedToTwoEntriesRunsOnce) {
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

TEST_F(RequestTest, keySubmittedTwiceInOneBatchRunsOnce) {
  m_First.submit("k");
  m_First.submit("k");
  advance(milliseconds(100));
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 1);
  m_First.m_Jobs.endAll(ResultCode::Ok);
  EXPECT_EQ(m_First.m_Answers.size(), 2u);
}

TEST_F(RequestTest, keyOfALostEntryHasUnknownOutcome) {
  m_First.submit("k");
  advance(milliseconds(50));
  m_Second.m_Peer = nullptr;
  m_Second.submit("k");
  advance(milliseconds(50));
  EXPECT_EQ(m_Second.lastCode(), ResultCode::OwnerLost);
  EXPECT_EQ(m_Second.m_Jobs.m_Runs, 0);
}

TEST_F(RequestTest, claimWhoseReplyWasLostIsReadBack) {
  m_Store.m_Fault = Fault::ReplyLost;
  m_First.submit("k");
  m_Timers.advance(milliseconds(10));
  m_Store.answerAll();
  m_Store.m_Fault = Fault::None;
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 0);
  advance(seconds(1));
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 1);
}

TEST_F(RequestTest, storeOutageRefusesAsNotRun) {
  m_Store.m_Fault = Fault::Down;
  m_First.submit("k");
  advance(seconds(3));
  EXPECT_EQ(m_First.lastCode(), ResultCode::ClaimUnavailable);
  EXPECT_EQ(m_First.m_Jobs.m_Runs, 0);
}

TEST_F(RequestTest, refusedJobLeavesTheKeyFree) {
  m_First.m_Jobs.m_AdmissionCode = ResultCode::DeadlineUnreachable;
  m_First.submit("k");
  EXPECT_EQ(m_First.lastCode(), ResultCode::DeadlineUnreachable);
  m_First.m_Jobs.m_AdmissionCode = ResultCode::Ok;
  m_First.submit("k");
  advance(milliseconds(50));
  m_First.m_Jobs.endAll(ResultCode::DeadlineBeforeStart);
  advance(milliseconds(50));
  m_Second.submit("k");
  advance(milliseconds(50));
  EXPECT_EQ(m_Second.m_Jobs.m_Runs, 1);
}

TEST_F(RequestTest, oneConflictInABatchDelaysNoOtherClaim) {
  m_First.submit("taken");
  advance(milliseconds(50));
  std::size_t CallsBefore = m_Store.calls();
  m_Second.submit("taken");
  for (int I = 0; I < 50; ++I)
    m_Second.submit("k" + std::to_string(I));
  advance(milliseconds(100));
  EXPECT_EQ(m_Second.m_Jobs.m_Runs, 50);
  // One write with the conflict, one without it, and one read.
  EXPECT_EQ(m_Store.calls() - CallsBefore, 3u);
}

// With two entries and random store faults, a key runs at most once.
TEST(RequestProperties, keyRunsAtMostOnce) {
  EXPECT_TRUE(rc::check("at most once", [] {
    ManualTimerService Timers;
    StoreFake Store;
    TestEntry First(1, Store, Timers);
    TestEntry Second(2, Store, Timers);
    First.m_Peer = &Second;
    Second.m_Peer = &First;
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    for (int Step : Steps) {
      if (Step < 2)
        (Step ? First : Second).submit("k");
      else if (Step < 5)
        Store.m_Fault = static_cast<Fault>(Step - 2);
      else if (Step == 5)
        Timers.advance(milliseconds(100));
      else
        Store.answerOne();
    }
    Store.m_Fault = Fault::None;
    for (int I = 0; I < 50; ++I) {
      Store.answerAll();
      Timers.advance(milliseconds(100));
    }
    RC_ASSERT(First.m_Jobs.m_Runs + Second.m_Jobs.m_Runs <= 1);
  }));
}
