#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "membership/tests/mocks/linksmock.h"
#include "slot/internal/slotservice.h"
#include "slot/tests/mocks/executormock.h"
#include "statechart/chartfolder.h"

#include <gtest/gtest.h>
#include <map>

using namespace cyclamenwalk;
using testing::_;

namespace {

const Incarnation EntryA{101};
const Incarnation EntryB{102};

class SlotServiceTest : public testing::Test {
protected:
  SlotServiceTest() {
    ON_CALL(m_Links, send(_, _))
        .WillByDefault([this](Incarnation To, Message Body) {
          if (auto *Grant = std::get_if<CreditGrant>(&Body))
            addCredits(To, Grant->m_Credits);
          else if (auto *Done = std::get_if<TaskDone>(&Body))
            addCredits(To, Done->m_Credits), m_Done.push_back(*Done);
          else if (auto *Withdrawal = std::get_if<CreditWithdraw>(&Body))
            m_Withdrawn[To] += Withdrawal->m_Credits.size();
          else if (auto *Refusal = std::get_if<StartRefused>(&Body))
            m_Refused.push_back(*Refusal);
          else if (auto *State = std::get_if<BackendState>(&Body))
            m_State = *State;
        });
  }

  void addCredits(Incarnation To, const std::vector<Credit> &Granted) {
    auto &Credits = m_Granted[To];
    Credits.insert(Credits.end(), Granted.begin(), Granted.end());
  }

  void serve(std::uint32_t Slots = 8, const std::string &Run = "r1") {
    BackendOffer Offer;
    Offer.m_Service = "gatepost";
    Offer.m_Address = "127.0.0.1:9";
    Offer.m_Instance = Run;
    Offer.m_Slots = Slots;
    m_Slots.announce(Offer);
  }

  void link(Incarnation Entry) {
    Peer Linked;
    Linked.m_Incarnation = Entry;
    m_Slots.entryUp(Linked);
  }

  void unlink(Incarnation Entry) {
    Peer Unlinked;
    Unlinked.m_Incarnation = Entry;
    m_Slots.entryDown(Unlinked);
  }

  TaskId start(Incarnation Entry, CreditId Id, bool IsLong = false,
               std::uint32_t Waiting = 0) {
    Start Body;
    Body.m_Task = TaskId{JobId{Entry, 1}, m_NextIndex++};
    Body.m_Credit = Id;
    Body.m_Service = "gatepost";
    Body.m_Remaining = seconds(10);
    Body.m_IsLong = IsLong;
    Body.m_Demand.m_Waiting = Waiting;
    Message Received = Body;
    m_LastStart = Body;
    m_Slots.receive(Entry, Received);
    return Body.m_Task;
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  testing::NiceMock<LinksMock> m_Links;
  ExecutorFake m_Executor;
  SlotService m_Slots{SlotSettings{}, chooseByDemand, m_Charts, m_Links,
                      m_Executor,     m_Timers,       m_Metrics};
  std::map<Incarnation, std::vector<Credit>> m_Granted;
  std::map<Incarnation, std::size_t> m_Withdrawn;
  std::vector<StartRefused> m_Refused;
  std::vector<TaskDone> m_Done;
  BackendState m_State;
  Start m_LastStart;
  std::uint32_t m_NextIndex = 0;
};

} // namespace

TEST_F(SlotServiceTest, idleSlotsAreDividedAmongEntriesAsCredits) {
  link(EntryA);
  link(EntryB);
  serve(8);
  EXPECT_EQ(m_Granted[EntryA].size(), 4u);
  EXPECT_EQ(m_Granted[EntryB].size(), 4u);
  EXPECT_EQ(m_State.m_Slots, 8u);
}

TEST_F(SlotServiceTest, newEntryGetsItsShareOfIdleSlots) {
  link(EntryA);
  serve(8);
  EXPECT_EQ(m_Granted[EntryA].size(), 8u);
  link(EntryB);
  EXPECT_EQ(m_Withdrawn[EntryA], 4u);
  EXPECT_EQ(m_Granted[EntryB].size(), 4u);
}

TEST_F(SlotServiceTest, creditStartsOneTaskAndItsResultCarriesTheNextCredit) {
  link(EntryA);
  serve(1);
  CreditId FirstCredit = m_Granted[EntryA][0].m_Id;
  TaskId Task = start(EntryA, FirstCredit);
  EXPECT_EQ(m_Executor.m_Starts[Task], 1);
  EXPECT_EQ(m_Slots.issuedCredits(), 0u);
  m_Executor.finish(Task);
  ASSERT_EQ(m_Done.size(), 1u);
  EXPECT_EQ(m_Done[0].m_Answer, "answer");
  EXPECT_EQ(m_Done[0].m_Credits.size(), 1u);
}

TEST_F(SlotServiceTest, creditIsValidForOneTaskOfItsHolderOnly) {
  link(EntryA);
  link(EntryB);
  serve(2);
  CreditId CreditOfA = m_Granted[EntryA][0].m_Id;
  start(EntryB, CreditOfA);
  ASSERT_EQ(m_Refused.size(), 1u);
  EXPECT_EQ(m_Refused[0].m_Code, ResultCode::CreditUnknown);
  start(EntryA, CreditOfA);
  start(EntryA, CreditOfA);
  EXPECT_EQ(m_Refused.size(), 2u);
  EXPECT_EQ(m_Executor.m_Starts.size(), 1u);
}

TEST_F(SlotServiceTest, repeatedStartIsNeitherExecutedAgainNorRefused) {
  link(EntryA);
  serve(1);
  TaskId Task = start(EntryA, m_Granted[EntryA][0].m_Id);
  Message Repeated = m_LastStart;
  m_Slots.receive(EntryA, Repeated);
  m_Executor.finish(Task);
  Message RepeatedAfterEnd = m_LastStart;
  m_Slots.receive(EntryA, RepeatedAfterEnd);
  EXPECT_EQ(m_Executor.m_Starts[Task], 1);
  EXPECT_TRUE(m_Refused.empty());
}

TEST_F(SlotServiceTest, leavingWithdrawsCreditsAndRefusesLaterStarts) {
  link(EntryA);
  serve(4);
  TaskId Running = start(EntryA, m_Granted[EntryA][0].m_Id);
  m_Slots.drain();
  EXPECT_EQ(m_Withdrawn[EntryA], 3u);
  EXPECT_TRUE(m_State.m_IsLeaving);
  start(EntryA, m_Granted[EntryA][1].m_Id);
  EXPECT_EQ(m_Refused.size(), 1u);
  m_Executor.finish(Running);
  EXPECT_EQ(m_Done.size(), 1u);
  EXPECT_TRUE(m_Done[0].m_Credits.empty());
}

TEST_F(SlotServiceTest, backendWithoutAnnouncementsGetsNoMoreTasks) {
  link(EntryA);
  serve(4);
  m_Timers.advance(seconds(2));
  serve(4);
  m_Timers.advance(seconds(2));
  EXPECT_TRUE(m_Slots.isServing());
  m_Timers.advance(seconds(1));
  EXPECT_FALSE(m_Slots.isServing());
  EXPECT_EQ(m_Slots.issuedCredits(), 0u);
}

// If the credits remained valid, each could fail a job at the dead server.
TEST_F(SlotServiceTest, lostContactSuspendsCreditsUntilTheNextAnnouncement) {
  link(EntryA);
  serve(4);
  TaskId Task = start(EntryA, m_Granted[EntryA][0].m_Id);
  m_Executor.finish(Task, ResultCode::BackendLost);
  EXPECT_EQ(m_Withdrawn[EntryA], 3u);
  EXPECT_TRUE(m_State.m_IsLeaving);
  EXPECT_EQ(m_Slots.issuedCredits(), 0u);
  serve(4);
  // The task whose answer was lost may still occupy its slot.
  EXPECT_EQ(m_Slots.issuedCredits(), 3u);
  EXPECT_FALSE(m_State.m_IsLeaving);
}

TEST_F(SlotServiceTest, replacedBackendFailsItsRunningTasks) {
  link(EntryA);
  serve(1);
  start(EntryA, m_Granted[EntryA][0].m_Id);
  serve(1, "r2");
  ASSERT_EQ(m_Done.size(), 1u);
  EXPECT_EQ(m_Done[0].m_Code, ResultCode::BackendLost);
  EXPECT_EQ(m_Slots.issuedCredits(), 1u);
}

TEST_F(SlotServiceTest, disconnectedEntryCannotUseItsFormerCredits) {
  link(EntryA);
  link(EntryB);
  serve(2);
  CreditId CreditOfA = m_Granted[EntryA][0].m_Id;
  unlink(EntryA);
  EXPECT_EQ(m_Granted[EntryB].size(), 2u);
  start(EntryA, CreditOfA);
  EXPECT_EQ(m_Executor.m_Starts.size(), 0u);
  link(EntryA);
  start(EntryA, CreditOfA);
  EXPECT_EQ(m_Executor.m_Starts.size(), 0u);
}

TEST_F(SlotServiceTest, freedSlotGoesToTheEntryWithDemand) {
  link(EntryA);
  link(EntryB);
  serve(2);
  TaskId TaskOfA = start(EntryA, m_Granted[EntryA][0].m_Id);
  start(EntryB, m_Granted[EntryB][0].m_Id, false, 5);
  m_Granted.clear();
  m_Executor.finish(TaskOfA);
  EXPECT_TRUE(m_Done[0].m_Credits.empty());
  EXPECT_EQ(m_Granted[EntryB].size(), 1u);
}

// The urgency of the first waiting task counts, not the number of tasks.
TEST_F(SlotServiceTest, freedSlotGoesToTheMoreUrgentDemand) {
  link(EntryA);
  link(EntryB);
  serve(2);
  start(EntryA, m_Granted[EntryA][0].m_Id);
  TaskId TaskOfB = start(EntryB, m_Granted[EntryB][0].m_Id);
  Message Large = Demand{800, seconds(2)};
  Message Short = Demand{1, milliseconds(50)};
  m_Slots.receive(EntryA, Large);
  m_Slots.receive(EntryB, Short);
  m_Granted.clear();
  m_Executor.finish(TaskOfB);
  EXPECT_EQ(m_Done[0].m_Credits.size(), 1u);
}

TEST(EntryChoice, previousHolderKeepsTheSlotUnlessAnotherIsClearlyAhead) {
  TimePoint Now{seconds(1)};
  auto KeepsSlot = [](EntryCandidate PreviousHolder, EntryCandidate Other) {
    PreviousHolder.m_IsPreviousHolder = true;
    return chooseByDemand({PreviousHolder, Other}) == 0;
  };
  EXPECT_TRUE(KeepsSlot({EntryA, 0, Now, 1}, {EntryB, 0, Now, 0}));
  EXPECT_FALSE(KeepsSlot({EntryA, 0, Now, 2}, {EntryB, 0, Now, 0}));
  EXPECT_FALSE(KeepsSlot({EntryA, 0, Now, 0}, {EntryB, 1, Now, 5}));
  EXPECT_TRUE(
      KeepsSlot({EntryA, 1, Now + milliseconds(10), 0}, {EntryB, 1, Now, 0}));
  EXPECT_FALSE(
      KeepsSlot({EntryA, 1, Now + milliseconds(11), 0}, {EntryB, 1, Now, 0}));
}

TEST_F(SlotServiceTest, demandReclaimsCreditsAboveTheMinimumAge) {
  link(EntryA);
  link(EntryB);
  serve(8);
  m_Granted.clear();
  Message StatedDemand = Demand{10, {}};
  m_Slots.receive(EntryB, StatedDemand);
  EXPECT_EQ(m_Withdrawn[EntryA], 0u);
  m_Timers.advance(milliseconds(20));
  m_Slots.receive(EntryB, StatedDemand);
  EXPECT_EQ(m_Withdrawn[EntryA], 2u);
  EXPECT_EQ(m_Granted[EntryB].size(), 2u);
}

TEST_F(SlotServiceTest, longTasksAreLimitedToTheirShare) {
  link(EntryA);
  serve(4);
  std::vector<Credit> Credits = m_Granted[EntryA];
  EXPECT_EQ(std::count_if(Credits.begin(), Credits.end(),
                          [](const Credit &C) { return C.m_AllowsLongTasks; }),
            2);
  start(EntryA, Credits[0].m_Id, true);
  start(EntryA, Credits[1].m_Id, true);
  start(EntryA, Credits[2].m_Id, true);
  ASSERT_EQ(m_Refused.size(), 1u);
  EXPECT_EQ(m_Refused[0].m_Code, ResultCode::LongShareFull);
}

TEST_F(SlotServiceTest, taskAboveTheLongThresholdCountsAsLong) {
  link(EntryA);
  serve(4);
  std::vector<Credit> Credits = m_Granted[EntryA];
  start(EntryA, Credits[2].m_Id);
  start(EntryA, Credits[3].m_Id);
  for (int I = 0; I < 3; ++I) {
    m_Timers.advance(seconds(1));
    serve(4);
  }
  start(EntryA, Credits[0].m_Id, true);
  EXPECT_EQ(m_Refused.size(), 1u);
}

TEST_F(SlotServiceTest, stopAffectsRunningTasksOfTheJobOnly) {
  link(EntryA);
  serve(4);
  TaskId Task = start(EntryA, m_Granted[EntryA][0].m_Id);
  Message Other = StopJob{JobId{EntryA, 99}};
  m_Slots.receive(EntryA, Other);
  EXPECT_TRUE(m_Executor.m_Stopped.empty());
  Message Stop = StopJob{JobId{EntryA, 1}};
  m_Slots.receive(EntryA, Stop);
  m_Slots.receive(EntryA, Stop);
  EXPECT_EQ(m_Executor.m_Stopped, std::vector<TaskId>{Task});
}

TEST_F(SlotServiceTest, silentBackendIsReportedLostAfterTheDeadline) {
  link(EntryA);
  serve(1);
  TaskId Task = start(EntryA, m_Granted[EntryA][0].m_Id);
  for (int I = 0; I < 12; ++I) {
    m_Timers.advance(seconds(1));
    serve(1);
  }
  ASSERT_EQ(m_Done.size(), 1u);
  EXPECT_EQ(m_Done[0].m_Code, ResultCode::BackendLost);
  // The late answer is ignored.
  m_Executor.finish(Task);
  EXPECT_EQ(m_Done.size(), 1u);
}

TEST_F(SlotServiceTest, fewerConfiguredSlotsWithdrawCredits) {
  link(EntryA);
  serve(8);
  SlotLimits Limits;
  Limits.m_Slots = 3;
  m_Slots.setLimits(Limits);
  EXPECT_EQ(m_Slots.issuedCredits(), 3u);
  Limits.m_IsServiceConfigured = false;
  m_Slots.setLimits(Limits);
  start(EntryA, m_Granted[EntryA][0].m_Id);
  EXPECT_EQ(m_Refused.at(0).m_Code, ResultCode::WithdrawnConfiguration);
}

/// Guards against tasks beyond the slots: an announcement that was delayed is
/// taken for the next instance's, and running tasks for lost.
TEST_F(SlotServiceTest, delayedAnnouncementOfAFormerInstanceEndsNoTask) {
  link(EntryA);
  serve(1, "r1");
  serve(1, "r2");
  start(EntryA, m_Granted[EntryA].back().m_Id);
  serve(1, "r1");
  EXPECT_TRUE(m_Done.empty());
  EXPECT_EQ(m_Slots.issuedCredits(), 0u);
  serve(1, "r2");
  EXPECT_TRUE(m_Done.empty());
  EXPECT_EQ(m_Slots.issuedCredits(), 0u);
}

/// Guards against tasks beyond the slots: the task whose answer was lost may
/// still run when the same instance announces itself.
TEST_F(SlotServiceTest, lostAnswerKeepsItsSlotUntilTheTaskMustHaveEnded) {
  link(EntryA);
  serve(1);
  TaskId Task = start(EntryA, m_Granted[EntryA][0].m_Id);
  m_Executor.finish(Task, ResultCode::BackendLost);
  serve(1);
  EXPECT_EQ(m_Slots.issuedCredits(), 0u);
  // The time that the task has, and the grace, are over after 11 s.
  for (int I = 0; I < 10; ++I) {
    m_Timers.advance(seconds(1));
    serve(1);
  }
  EXPECT_EQ(m_Slots.issuedCredits(), 0u);
  m_Timers.advance(seconds(1));
  EXPECT_EQ(m_Slots.issuedCredits(), 1u);
  EXPECT_EQ(m_Done.size(), 1u);
}

/// Guards against a drain that waits for a task whose outcome is reported.
TEST_F(SlotServiceTest, taskWithALostAnswerIsNotInProgress) {
  link(EntryA);
  serve(1);
  TaskId Task = start(EntryA, m_Granted[EntryA][0].m_Id);
  EXPECT_EQ(m_Slots.running(), 1u);
  m_Executor.finish(Task, ResultCode::BackendLost);
  EXPECT_EQ(m_Slots.running(), 0u);
}

/// Guards against a slot that is held for a task that was never sent.
TEST_F(SlotServiceTest, taskThatWasNotSentKeepsNoSlot) {
  link(EntryA);
  serve(1);
  TaskId Task = start(EntryA, m_Granted[EntryA][0].m_Id);
  m_Executor.finishWith(Task, {ResultCode::BackendLost, "", false});
  serve(1);
  EXPECT_EQ(m_Slots.issuedCredits(), 1u);
}
