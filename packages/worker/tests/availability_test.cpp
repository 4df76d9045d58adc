#include "policy/types/lossbackoff.h"
#include "worker/internal/coldramp.h"
#include "worker/internal/departure.h"
#include "worker/tests/mocks/workerservicefixture.h"

#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

const TimePoint Start{seconds(1000)};

WorkerSettings settings() {
  WorkerSettings Settings;
  Settings.m_PausesAfterLosses = true;
  return Settings;
}

class AvailabilityTest : public WorkerServiceTest {
protected:
  AvailabilityTest() : WorkerServiceTest(settings()) {}

  /// The server states that it ends after \p ServerTime.
  void announceLeaving(std::optional<Duration> ServerTime) {
    BackendAnnouncement Leaving = makeAnnouncement();
    Leaving.m_IsLeaving = true;
    Leaving.m_Remaining = ServerTime;
    m_Worker->announce(Leaving);
  }

  /// Places a task that can't end within 300 ms.
  void placeLong(Duration Remaining) {
    PlaceTasks Body = makePlacement(1);
    Body.m_ExpectedRunTime = milliseconds(760);
    Body.m_Remaining = Remaining;
    place(Body);
  }

  /// Another incarnation of the server is up, without any runs.
  void restart(Duration StartedAt) {
    m_Control.restart(StartedAt);
    m_Control.answerHolds();
    m_Control.answerHolds();
    m_Timers.advance(milliseconds(10));
    m_Worker->announce(makeAnnouncement());
    m_Control.answerHolds();
  }
};

/// Guards against a task that is lost with its server although there was time
/// to run it elsewhere. Its end must be known before the entry is told.
TEST_F(AvailabilityTest, RunThatCannotEndIsMovedOnceItHasEnded) {
  serve();
  placeLong(milliseconds(1400));
  m_Control.m_LosesStops = true;
  announceLeaving(milliseconds(300));
  ASSERT_EQ(m_Control.m_Stops.size(), 1u);
  EXPECT_TRUE(takeResults().empty()) << "the run may still be in progress";
  m_Control.endRun({"job1.0", 1}, RunOutcome::Stopped);
  m_Control.answerHolds();
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::Stopped);
  EXPECT_EQ(m_Control.m_Starts.size(), 1u);
}

/// Guards against work thrown away: a run that may end, has no time left to run
/// elsewhere, or whose server doesn't state its time, runs on.
TEST_F(AvailabilityTest, RunsThatWouldGainNothingRunOn) {
  serve();
  place(makePlacement(1, 2));
  placeLong(milliseconds(700));
  announceLeaving(milliseconds(300));
  announceLeaving(std::nullopt);
  m_Control.answerHolds();
  EXPECT_TRUE(m_Control.m_Stops.empty());
}

/// Guards against runs that are stopped because an estimate was wrong, and
/// against estimates that hide that a run can't end.
TEST_F(AvailabilityTest, ProgressDecidesOnceItIsKnown) {
  serve();
  PlaceTasks Body = makePlacement(2);
  Body.m_ExpectedRunTime = milliseconds(400);
  place(Body);
  for (std::uint32_t Percent = 0; Percent < 25; Percent += 5) {
    m_Control.m_Running[{"job1.0", 1}] = 4 * Percent;
    m_Control.m_Running[{"job1.1", 1}] = Percent;
    m_Control.answerHolds();
    m_Timers.advance(milliseconds(50));
  }
  m_Control.m_Running[{"job1.0", 1}] = 98;
  m_Control.m_Running[{"job1.1", 1}] = 25;
  announceLeaving(milliseconds(250));
  m_Control.answerHolds();
  ASSERT_EQ(m_Control.m_Stops.size(), 1u);
  EXPECT_EQ(m_Control.m_Stops[0], (RunId{"job1.1", 1}));
}

TEST(DepartureTest, ARunIsMovedOnlyIfThatCanHelp) {
  EXPECT_TRUE(rc::check("moves", [] {
    auto Time = [] { return milliseconds(*rc::gen::inRange(-500, 3000)); };
    DepartingRun Candidate{Time(), Time(), Time(), Time()};
    if (!shouldMove(Candidate))
      return;
    RC_ASSERT(Candidate.m_MinRemaining > Candidate.m_ServerTime);
    RC_ASSERT(Candidate.m_RunTime < Candidate.m_UntilDeadline);
    RC_ASSERT(Candidate.m_ServerTime > Duration::zero());
  }));
}

/// Guards against a queue of slow runs at a server that has just started.
TEST_F(AvailabilityTest, ColdServerGetsWorkByARamp) {
  BackendAnnouncement Cold = makeAnnouncement();
  Cold.m_ColdRemaining = seconds(1);
  m_Worker->announce(Cold);
  m_Control.answerHolds();
  place(makePlacement(6));
  EXPECT_EQ(m_Control.m_Starts.size(), 1u);
  m_Timers.advance(milliseconds(500));
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 4u);
  m_Timers.advance(milliseconds(100));
  m_Worker->announce(makeAnnouncement());
  m_Control.answerHolds();
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
}

/// Guards against a ramp that never ends, or that shrinks again.
TEST(ColdRampTest, UsableCoresGrowAndTheRampEnds) {
  EXPECT_TRUE(rc::check("ramp", [](const std::vector<std::uint16_t> &Stated) {
    ColdRamp Ramp;
    for (std::uint16_t Remaining : Stated)
      Ramp.update(milliseconds(Remaining), Start);
    std::int64_t Usable = 0;
    for (int Step = 0; Step <= 30; ++Step) {
      std::int64_t Next =
          Ramp.usableMilliCores({64000, 1, 0}, Start + seconds(Step));
      RC_ASSERT(Next >= std::max<std::int64_t>(Usable, 16000));
      RC_ASSERT(Next <= 64000);
      Usable = Next;
    }
    RC_ASSERT(Usable == 64000);
  }));
}

TEST(ColdRampTest, ARepeatedStatementDoesNotExtendTheRampWithoutEnd) {
  ColdRamp Ramp;
  for (int Second = 0; Second < 40; ++Second)
    Ramp.update(seconds(10), Start + seconds(Second));
  EXPECT_FALSE(Ramp.isCold(Start + seconds(40)));
}

/// Guards against a server that takes its runs with it again and again.
TEST_F(AvailabilityTest, FlappingServerReturnsAfterAPauseWithOneRun) {
  m_Control.m_InstanceStartedAt = seconds(100);
  serve();
  restart(seconds(200));
  place(makePlacement(2));
  EXPECT_EQ(m_Control.m_Starts.size(), 2u) << "one loss has no effect";
  restart(seconds(300));
  takeResults();
  place(makePlacement(1, 2));
  EXPECT_EQ(m_Control.m_Starts.size(), 2u);
  EXPECT_EQ(takeResults().size(), 1u);
  m_Timers.advance(milliseconds(520));
  m_Control.answerHolds();
  place(makePlacement(3, 3));
  EXPECT_EQ(m_Control.m_Starts.size(), 3u);
}

/// Planned restarts are no losses.
TEST_F(AvailabilityTest, ServerThatHasAnnouncedItsEndIsNotFlapping) {
  for (int I = 1; I <= 4; ++I) {
    m_Control.m_InstanceStartedAt = seconds(100 * I);
    serve();
    place(makePlacement(1, static_cast<std::uint64_t>(I)));
    EXPECT_EQ(m_Control.m_Starts.size(), static_cast<std::size_t>(I));
    m_Control.endRun({"job" + std::to_string(I) + ".0", 1},
                     RunOutcome::Succeeded);
    m_Control.answerHolds();
    announceLeaving(seconds(1));
    m_Control.restart(seconds(100 * I + 50));
    m_Control.answerHolds();
    m_Control.answerHolds();
    m_Timers.advance(milliseconds(10));
  }
}

TEST(LossBackoffTest, PauseGrowsIsBoundedAndEnds) {
  EXPECT_TRUE(rc::check("backoff", [](const std::vector<std::uint8_t> &Gaps) {
    LossBackoff Backoff;
    TimePoint Now = Start;
    for (std::uint8_t Gap : Gaps) {
      Now += milliseconds(100 * Gap);
      Duration Before = Backoff.pause(Now);
      Backoff.recordLoss(Now);
      RC_ASSERT(Backoff.pause(Now) >= Before);
      RC_ASSERT(Backoff.pause(Now) <= seconds(4));
    }
    RC_ASSERT(Backoff.pause(Now + seconds(15)) == Duration::zero());
  }));
}

} // namespace
