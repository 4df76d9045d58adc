#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsmock.h"
#include "membership/tests/mocks/linksfake.h"
#include "statechart/chartfolder.h"
#include "worker/tests/mocks/backendcontrolfake.h"
#include "worker/workermodule.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

constexpr std::uint64_t FirstToken = 100;
constexpr Resources Capacity{64000, 262144, 0};
constexpr Resources Need{10000, 64, 0};
const Peer Entry{"entry-1", {7}, "10.0.0.1:1", "zone-a", Role::Entry};
const Peer OtherEntry{"entry-2", {8}, "10.0.0.2:1", "zone-a", Role::Entry};

/// An agent beside a server that a test controls.
class WorkerServiceTest : public testing::Test {
protected:
  WorkerServiceTest()
      : m_Charts(CW_CHART_DIR),
        m_Worker(makeWorkerService(WorkerSettings{},
                                   {m_Charts, m_Links, m_Control, m_Timers,
                                    m_Metrics, [] { return FirstToken; }})) {
    m_Worker->entryUp(Entry);
    m_Worker->entryUp(OtherEntry);
  }

  BackendAnnouncement announcement(const std::string &Instance = "i-1") {
    BackendAnnouncement Said;
    Said.m_Instance = Instance;
    Said.m_Address = "10.0.0.9:80";
    Said.m_Service = "gatepost";
    Said.m_Capacity = Capacity;
    Said.m_BornAt = m_Control.m_BornAt;
    Said.m_Sequence = ++m_Sequence;
    return Said;
  }

  void serve() {
    m_Worker->announce(announcement());
    m_Control.answerHolds();
  }

  PlaceTasks placement(std::uint32_t Tasks, std::uint64_t Job = 1) {
    PlaceTasks Body;
    Body.m_Job = {Entry.m_Incarnation, Job};
    Body.m_Name = "job" + std::to_string(Job);
    Body.m_Service = "gatepost";
    Body.m_Required = Need;
    Body.m_ExpectedRunTime = milliseconds(100);
    Body.m_StartWithin = milliseconds(100);
    Body.m_OrderWithin = milliseconds(100);
    Body.m_Remaining = seconds(2);
    Body.m_MaxWait = seconds(2);
    for (std::uint32_t I = 0; I < Tasks; ++I)
      Body.m_Tasks.push_back({I, 1});
    return Body;
  }

  void place(PlaceTasks Body, const Peer &From = Entry) {
    Message Sent = std::move(Body);
    m_Worker->receive(From.m_Incarnation, Sent);
  }

  /// The ends told to \p To since the last call.
  std::vector<RunResult> ends(const Peer &To = Entry) {
    m_Timers.advance(milliseconds(10));
    std::vector<RunResult> Found;
    for (const auto &Known : m_Links.sent<RunResults>())
      if (Known.first == To.m_Incarnation)
        Found.insert(Found.end(), Known.second.m_RunResults.begin(),
                     Known.second.m_RunResults.end());
    m_Links.m_Sent.clear();
    return Found;
  }

  ChartFolder m_Charts;
  LinksFake m_Links;
  BackendControlFake m_Control;
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  std::unique_ptr<IWorkerService> m_Worker;
  std::uint64_t m_Sequence = 0;
};

TEST_F(WorkerServiceTest, StartsWhatFitsAndQueuesTheRest) {
  serve();
  place(placement(8));
  EXPECT_EQ(m_Control.m_Running.size(), 6u);
  m_Control.end({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 7u);
  EXPECT_LE(m_Control.m_Running.size(), 6u);
}

TEST_F(WorkerServiceTest, ALargeTaskAtTheHeadIsNotOvertaken) {
  serve();
  place(placement(6));
  PlaceTasks Large = placement(1, 2);
  Large.m_Required = {30000, 64, 0};
  Large.m_OrderWithin = milliseconds(10);
  place(Large);
  PlaceTasks Small = placement(1, 3);
  Small.m_Required = {1000, 64, 0};
  place(Small);
  for (std::uint32_t I = 0; I < 2; ++I)
    m_Control.end({"job1." + std::to_string(I), 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
  m_Control.end({"job1.2", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 8u);
  EXPECT_EQ(m_Control.m_Starts[6].m_Run.m_Task, "job2.0");
}

/// Mixed sizes at a crest: a large task that can wait leaves the rest of the
/// room to smaller ones until its time comes.
TEST_F(WorkerServiceTest, ALargeTaskThatCanWaitIsOvertaken) {
  serve();
  place(placement(6));
  PlaceTasks Large = placement(1, 2);
  Large.m_Required = {30000, 64, 0};
  Large.m_OrderWithin = milliseconds(400);
  place(Large);
  PlaceTasks Small = placement(1, 3);
  Small.m_Required = {1000, 64, 0};
  Small.m_OrderWithin = milliseconds(500);
  place(Small);
  EXPECT_EQ(m_Control.m_Starts.size(), 7u);
  EXPECT_EQ(m_Control.m_Starts.back().m_Run.m_Task, "job3.0");
}

/// Entries that do not know yet that a server is only tried.
TEST_F(WorkerServiceTest, AServerThatIsTriedSendsBackWhatItMayNotStart) {
  serve();
  place(placement(3));
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(200));
  m_Control.answerHolds();
  for (std::uint32_t I = 0; I < 3; ++I)
    m_Control.end({"job1." + std::to_string(I), 1}, RunOutcome::Stopped);
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(750));
  m_Control.answerHolds();
  ends();
  place(placement(3, 3));
  EXPECT_EQ(m_Control.m_Starts.size(), 4u);
  EXPECT_EQ(ends().size(), 2u);
}

/// A server that hung: a long run that gets on shows that it is over.
TEST_F(WorkerServiceTest, AfterAStallARunThatGetsOnIsAProbe) {
  serve();
  place(placement(1));
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(200));
  m_Control.answerHolds();
  m_Control.end({"job1.0", 1}, RunOutcome::Stopped);
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(750));
  m_Control.answerHolds();
  for (std::uint64_t Job = 2; Job <= 3; ++Job) {
    place(placement(1, Job));
    m_Control.answerHolds();
    m_Timers.advance(milliseconds(30));
    m_Control.m_Running[{"job" + std::to_string(Job) + ".0", 1}] = 10;
    m_Control.answerHolds();
  }
  place(placement(3, 4));
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
}

TEST_F(WorkerServiceTest, NothingStartsBesideRunsOfAnEarlierAgent) {
  m_Control.m_Running[{"old.0", 3}] = 40;
  m_Worker->announce(announcement());
  m_Control.answerHolds();
  place(placement(1));
  EXPECT_TRUE(m_Control.m_Starts.empty());
  ASSERT_EQ(m_Control.m_Stops.size(), 1u);
  EXPECT_EQ(m_Control.m_Stops[0], (RunName{"old.0", 3}));
  m_Timers.advance(milliseconds(40));
  m_Control.answerHolds();
  place(placement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 1u);
  EXPECT_EQ(m_Control.m_Starts[0].m_Run.m_Task, "job2.0");
}

TEST_F(WorkerServiceTest, TheLeaseOfStrangersIsNotRenewed) {
  m_Control.m_Running[{"old.0", 3}] = 40;
  m_Worker->announce(announcement());
  ASSERT_EQ(m_Control.m_Holds.size(), 1u);
  EXPECT_EQ(m_Control.m_Holds[0].m_Order.m_LeaseUntil, Duration::zero());
}

TEST_F(WorkerServiceTest, AnUnansweredStartKeepsItsRoomUntilItIsFenced) {
  serve();
  m_Control.m_LosesStarts = true;
  place(placement(6));
  m_Control.m_LosesStarts = false;
  place(placement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 6u) << "room may still be taken";
  EXPECT_GT(m_Control.m_Token, FirstToken);
  m_Control.answerHolds();
  // The lost orders have no effect any more, so all seven are tried anew.
  for (const StartOrder &Late : m_Control.m_Lost)
    EXPECT_EQ(m_Control.carryOut(Late), OrderOutcome::Fenced);
  EXPECT_EQ(m_Control.m_Running.size(), 6u);
}

TEST_F(WorkerServiceTest, AnUnansweredStartThatIsListedGoesOn) {
  serve();
  m_Control.m_LosesStarts = true;
  place(placement(1));
  m_Control.m_LosesStarts = false;
  m_Control.m_Running[{"job1.0", 1}] = 1;
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 1u);
  m_Control.end({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  auto Ends = ends();
  ASSERT_EQ(Ends.size(), 1u);
  EXPECT_EQ(Ends[0].m_RunOutcome, RunOutcome::Succeeded);
}

TEST_F(WorkerServiceTest, AcknowledgesEndsOnceTheyAreKnown) {
  serve();
  place(placement(2));
  m_Control.end({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.end({"job1.1", 1}, RunOutcome::Failed);
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Acknowledged, 2u);
  auto Ends = ends();
  ASSERT_EQ(Ends.size(), 2u);
  EXPECT_EQ(Ends[1].m_RunOutcome, RunOutcome::Failed);
}

TEST_F(WorkerServiceTest, ALostEntryTakesItsRunsAlong) {
  serve();
  place(placement(8));
  place(placement(1, 5), OtherEntry);
  m_Worker->entryDown(Entry);
  EXPECT_EQ(m_Control.m_Stops.size(), 6u);
  m_Control.answerHolds();
  ASSERT_EQ(m_Control.m_Running.size(), 1u);
  EXPECT_EQ(m_Control.m_Running.begin()->first.m_Task, "job5.0");
}

TEST_F(WorkerServiceTest, AfterAPauseNothingStaleStarts) {
  serve();
  place(placement(7));
  m_Control.end({"job1.0", 1}, RunOutcome::Succeeded);
  m_Timers.pause(seconds(4));
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
  auto Ends = ends();
  ASSERT_EQ(Ends.size(), 2u);
  EXPECT_EQ(Ends[1].m_RunOutcome, RunOutcome::NotStarted);
}

TEST_F(WorkerServiceTest, ALeavingServerGetsNothingNew) {
  serve();
  place(placement(7));
  BackendAnnouncement Leaving = announcement();
  Leaving.m_IsLeaving = true;
  m_Worker->announce(Leaving);
  m_Control.end({"job1.0", 1}, RunOutcome::Succeeded);
  m_Control.answerHolds();
  place(placement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
  auto Ends = ends();
  ASSERT_EQ(Ends.size(), 3u);
  EXPECT_EQ(Ends[0].m_RunOutcome, RunOutcome::NotStarted);
}

TEST_F(WorkerServiceTest, ALateAnnouncementDoesNotUndoTheLeaving) {
  serve();
  BackendAnnouncement Early = announcement();
  BackendAnnouncement Leaving = announcement();
  Leaving.m_IsLeaving = true;
  m_Worker->announce(Leaving);
  m_Worker->announce(Early);
  place(placement(1));
  EXPECT_TRUE(m_Control.m_Starts.empty());
}

TEST_F(WorkerServiceTest, AServerRebornUnderItsNameHasLostItsRuns) {
  m_Control.m_BornAt = seconds(100);
  serve();
  place(placement(1));
  m_Control.m_BornAt = seconds(200);
  m_Control.m_Running.clear();
  m_Control.answerHolds();
  auto Ends = ends();
  ASSERT_EQ(Ends.size(), 1u);
  EXPECT_EQ(Ends[0].m_RunOutcome, RunOutcome::BackendGone);
  m_Worker->announce(announcement());
  m_Control.answerHolds();
  place(placement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 2u);
}

TEST_F(WorkerServiceTest, ASilentServerIsGivenUpOnlyAfterItsLease) {
  serve();
  place(placement(1));
  m_Control.answerHolds(OrderOutcome::Unanswered);
  EXPECT_TRUE(ends().empty());
  for (int I = 0; I < 60; ++I) {
    m_Timers.advance(milliseconds(30));
    m_Control.answerHolds(OrderOutcome::Unanswered);
  }
  auto Ends = ends();
  ASSERT_EQ(Ends.size(), 1u);
  EXPECT_EQ(Ends[0].m_RunOutcome, RunOutcome::BackendGone);
}

TEST_F(WorkerServiceTest, RunsThatStandStillAreStoppedAndTheServerRests) {
  serve();
  place(placement(3));
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(200));
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Stops.size(), 3u);
  place(placement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 3u);
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(750));
  m_Control.answerHolds();
  place(placement(3, 3));
  EXPECT_EQ(m_Control.m_Starts.size(), 4u) << "one at a time after the rest";
}

TEST_F(WorkerServiceTest, RunsThatGetOnAreLeftAlone) {
  serve();
  place(placement(1));
  for (std::uint32_t Progress = 1; Progress < 40; ++Progress) {
    m_Control.m_Running[{"job1.0", 1}] = Progress;
    m_Control.answerHolds();
    m_Timers.advance(milliseconds(30));
  }
  EXPECT_TRUE(m_Control.m_Stops.empty());
}

TEST_F(WorkerServiceTest, ARunThatCannotEndInTimeIsReported) {
  serve();
  place(placement(1));
  m_Timers.advance(milliseconds(100));
  m_Control.m_Running[{"job1.0", 1}] = 2;
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(130));
  m_Control.m_Running[{"job1.0", 1}] = 4;
  m_Control.answerHolds();
  EXPECT_EQ(m_Links.sent<DeadlineMissForecast>().size(), 1u);
}

TEST_F(WorkerServiceTest, ARunThatStandsStillDoesNotEndItsJob) {
  serve();
  place(placement(1));
  m_Timers.advance(milliseconds(110));
  m_Control.answerHolds();
  m_Timers.advance(milliseconds(130));
  m_Control.answerHolds();
  EXPECT_TRUE(m_Links.sent<DeadlineMissForecast>().empty());
  m_Timers.advance(milliseconds(20));
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Stops.size(), 1u);
}

TEST_F(WorkerServiceTest, AServerThatFailsEachRunRests) {
  serve();
  for (std::uint64_t Job = 1; Job <= 4; ++Job) {
    place(placement(1, Job));
    m_Control.end({"job" + std::to_string(Job) + ".0", 1}, RunOutcome::Failed);
    m_Control.answerHolds();
  }
  place(placement(1, 9));
  EXPECT_EQ(m_Control.m_Starts.size(), 4u);
}

TEST_F(WorkerServiceTest, AJobThatFailsEverywhereCountsOnce) {
  serve();
  place(placement(6));
  for (std::uint32_t I = 0; I < 6; ++I)
    m_Control.end({"job1." + std::to_string(I), 1}, RunOutcome::Failed);
  m_Control.answerHolds();
  place(placement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 7u);
}

} // namespace
