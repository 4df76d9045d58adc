#include "worker/internal/backfill.h"
#include "worker/tests/mocks/workerservicefixture.h"

#include <rapidcheck.h>

#include <list>
#include <random>

using namespace cyclamenwalk;

namespace {

constexpr Duration MaxPassedOver = milliseconds(150);
constexpr Duration MaxQueueTime = milliseconds(700);
constexpr Duration Step = milliseconds(5);

/// A queue and a server on which runs take the given time, whatever was
/// expected.
class BackfillScenario {
public:
  RunPointer place(Resources Required, Duration Expected, Duration RunTime,
                   Duration OrderWithin = milliseconds(100)) {
    auto Job = std::make_shared<PlacedJob>();
    Job->m_Required = Required;
    Job->m_ExpectedRunTime = Expected;
    Job->m_PlacedAt = m_Now;
    Job->m_OrderKey = m_Now + OrderWithin;
    Job->m_DeadlineAt = m_Now + seconds(2);
    auto Added = std::make_shared<Run>();
    Added->m_Job = Job;
    Added->m_Id = {"t" + std::to_string(++m_LastRun), 1};
    m_RunTimes[Added->m_Id] = RunTime;
    m_Waiting.push_back(Added);
    m_Waiting.sort([](const RunPointer &Left, const RunPointer &Right) {
      return Left->m_Job->m_OrderKey < Right->m_Job->m_OrderKey;
    });
    return Added;
  }

  void startWaiting() {
    while (RunPointer Next = choose())
      m_Waiting.remove(Next);
  }

  void advance() {
    m_Now += Step;
    std::erase_if(m_Running, [this](const RunPointer &Active) {
      bool HasEnded = m_Now - Active->m_StartedAt >= m_RunTimes[Active->m_Id];
      if (HasEnded)
        m_Free += Active->m_Job->m_Required;
      return HasEnded;
    });
    // The agent returns runs that wait for longer.
    m_Waiting.remove_if([this](const RunPointer &Waiting) {
      return m_Now - Waiting->m_Job->m_PlacedAt >= MaxQueueTime;
    });
    startWaiting();
  }

  bool isRunning(const RunPointer &Candidate) const {
    return Candidate->m_State == RunState::Running;
  }

  TimePoint m_Now{seconds(100)};
  Resources m_Free{32000, 1000, 2};
  MetricsFake m_Metrics;
  std::list<RunPointer> m_Waiting;
  std::vector<RunPointer> m_Running;
  std::vector<RunPointer> m_GivenUp;
  /// The longest time between the first and the last start of a run that was
  /// placed later and before which another one waited.
  Duration m_LongestPassedOver{};
  bool m_HasOverfilled = false;

private:
  RunPointer choose() {
    auto [Next, IsGivenUp] = m_Backfill.next(
        {{m_Waiting.begin(), m_Waiting.end()}, m_Free, m_Now, 1, [this] {
           return expectedEnds(m_Running, m_Now, 1);
         }});
    if (!Next)
      return nullptr;
    if (IsGivenUp) {
      m_GivenUp.push_back(Next);
      return Next;
    }
    for (const RunPointer &Waiting : m_Waiting)
      if (Waiting->m_Job->m_PlacedAt < Next->m_Job->m_PlacedAt &&
          Waiting->m_PassedOverSince != TimePoint{})
        m_LongestPassedOver =
            std::max(m_LongestPassedOver, m_Now - Waiting->m_PassedOverSince);
    Next->m_State = RunState::Running;
    Next->m_StartedAt = m_Now;
    m_Free -= Next->m_Job->m_Required;
    m_HasOverfilled |= !m_Free.canFit({0, 0, 0});
    m_Running.push_back(Next);
    return Next;
  }

  Backfill m_Backfill{MaxPassedOver, MaxQueueTime, m_Metrics};
  std::map<RunId, Duration> m_RunTimes;
  std::uint64_t m_LastRun = 0;
};

constexpr Resources Small{4000, 10, 0};
constexpr Resources Large{24000, 10, 0};

} // namespace

/// Guards against a large run that small ones keep from starting: it starts
/// when the runs before it have ended, and those that end before it fill up.
TEST(Backfill, smallRunsFillTheTimeBeforeAReservation) {
  BackfillScenario Server;
  for (int I = 0; I < 6; ++I)
    Server.place(Small, milliseconds(100), milliseconds(100));
  Server.startWaiting();
  RunPointer Waiting = Server.place(Large, milliseconds(50), milliseconds(50));
  RunPointer Short = Server.place(Small, milliseconds(40), milliseconds(40),
                                  milliseconds(200));
  RunPointer Long = Server.place(Small, milliseconds(400), milliseconds(400),
                                 milliseconds(200));
  RunPointer LongToo = Server.place(Small, milliseconds(400), milliseconds(400),
                                    milliseconds(200));
  RunPointer LongThree = Server.place(Small, milliseconds(400),
                                      milliseconds(400), milliseconds(200));
  Server.startWaiting();
  EXPECT_TRUE(Server.isRunning(Short));
  EXPECT_TRUE(Server.isRunning(Long)) << "fits beside the reservation";
  EXPECT_FALSE(Server.isRunning(LongToo));
  EXPECT_EQ(Server.m_Metrics.of(Metric::ReservationsMade), 1u);
  EXPECT_EQ(Server.m_Metrics.of(Metric::BackfilledStarts), 2u);
  for (Duration Passed{}; Passed < milliseconds(100); Passed += Step)
    Server.advance();
  EXPECT_TRUE(Server.isRunning(Waiting));
}

/// Guards against idle resources when a run blocks them for seven times its
/// expected time: the reservation lapses and small runs start again.
TEST(Backfill, aReservationThatIsNotUsedLapses) {
  BackfillScenario Server;
  Server.place({16000, 10, 0}, milliseconds(50), milliseconds(350));
  Server.startWaiting();
  RunPointer Waiting = Server.place(Large, milliseconds(50), milliseconds(50));
  RunPointer Held = Server.place({12000, 10, 0}, milliseconds(400),
                                 milliseconds(400), milliseconds(200));
  for (int I = 0; I < 22; ++I)
    Server.advance();
  ASSERT_EQ(Server.m_GivenUp.size(), 1u);
  EXPECT_EQ(Server.m_GivenUp.front(), Waiting);
  EXPECT_TRUE(Server.isRunning(Held));
  EXPECT_EQ(Server.m_Metrics.of(Metric::ReservationsLapsed), 1u);
}

TEST(Backfill, memoryAndGpusAreReservedToo) {
  BackfillScenario Server;
  Server.place({1000, 10, 2}, milliseconds(50), milliseconds(50));
  Server.startWaiting();
  RunPointer Waiting =
      Server.place({1000, 10, 1}, milliseconds(50), milliseconds(50));
  RunPointer Behind = Server.place({1000, 995, 0}, milliseconds(200),
                                   milliseconds(200), milliseconds(200));
  RunPointer Beside = Server.place({1000, 500, 0}, milliseconds(200),
                                   milliseconds(200), milliseconds(200));
  Server.startWaiting();
  EXPECT_FALSE(Server.isRunning(Behind));
  EXPECT_TRUE(Server.isRunning(Beside));
  for (int I = 0; I < 10; ++I)
    Server.advance();
  EXPECT_TRUE(Server.isRunning(Waiting));
}

/// Whatever the errors of the estimates: nothing is started twice or beyond the
/// capacity, no run is passed over beyond the bound, every run starts or is
/// returned, and at the end everything is free.
TEST(Backfill, wrongEstimatesOnlyCostTime) {
  EXPECT_TRUE(rc::check("bounds hold", [](std::uint32_t Seed) {
    std::mt19937 Random(Seed);
    auto Draw = [&Random](int Count) {
      return static_cast<int>(Random() % static_cast<unsigned>(Count));
    };
    BackfillScenario Server;
    for (int I = 0; I < 400; ++I) {
      if (Draw(2) == 0) {
        Duration Expected = milliseconds(10 + Draw(200));
        Server.place(Draw(8) == 0 ? Large : Small, Expected,
                     scaled(Expected, 0.3 + Draw(670) / 100.0),
                     milliseconds(Draw(600)));
      }
      Server.advance();
      RC_ASSERT(!Server.m_HasOverfilled);
    }
    for (int I = 0; I < 500; ++I)
      Server.advance();
    RC_ASSERT(Server.m_LongestPassedOver <= MaxPassedOver);
    RC_ASSERT(Server.m_Waiting.empty());
    RC_ASSERT(Server.m_Free == (Resources{32000, 1000, 2}));
  }));
}

namespace {

class LookAheadWorkerTest : public WorkerServiceTest {
protected:
  /// Replaces the agent by one that looks ahead, and fills its server.
  void serveLookingAhead() {
    WorkerSettings Settings;
    Settings.m_LookAhead = true;
    m_Worker =
        makeWorkerService(Settings, {m_Charts, m_Links, m_Control, m_Timers,
                                     m_Metrics, [] { return FirstToken; }});
    m_Worker->entryUp(Entry);
    fill();
  }

  void fill() {
    serve();
    place(makePlacement(6));
    m_Timers.advance(milliseconds(10));
  }

  WorkerReport lastReport() {
    return m_Links.sent<WorkerReport>().back().second;
  }
};

} // namespace

/// Guards against entries that learn too late that a server has no room left:
/// the report follows within the report interval.
TEST_F(LookAheadWorkerTest, reportsEndsWhenRoomRunsOut) {
  serveLookingAhead();
  auto Ends = lastReport().m_ExpectedEnds;
  ASSERT_EQ(Ends.size(), 1u);
  EXPECT_EQ(Ends[0].m_Freed.m_MilliCores, 60000);
  EXPECT_GT(Ends[0].m_Within, milliseconds(80));
  EXPECT_LE(Ends[0].m_Within, milliseconds(100));
}

TEST_F(LookAheadWorkerTest, reportsNoEndsUnlessSwitchedOn) {
  fill();
  EXPECT_TRUE(lastReport().m_ExpectedEnds.empty());
}

/// A run that was given up is returned as not started, so that its entry may
/// place it elsewhere.
TEST_F(LookAheadWorkerTest, aRunThatIsGivenUpDidNotStart) {
  serveLookingAhead();
  PlaceTasks Large = makePlacement(1, 2);
  Large.m_Required = {62000, 64, 0};
  Large.m_ExpectedRunTime = milliseconds(1);
  place(Large);
  PlaceTasks Held = makePlacement(1, 3);
  Held.m_Required = {4000, 64, 0};
  Held.m_ExpectedRunTime = seconds(1);
  Held.m_OrderWithin = milliseconds(300);
  place(Held);
  EXPECT_EQ(m_Control.m_Starts.size(), 6u) << "it would delay the large run";
  for (int I = 0; I < 5; ++I) {
    m_Timers.advance(milliseconds(10));
    m_Control.answerHolds();
  }
  auto Results = takeResults();
  ASSERT_EQ(Results.size(), 1u);
  EXPECT_EQ(Results[0].m_RunOutcome, RunOutcome::NotStarted);
  EXPECT_EQ(Results[0].m_Job.m_Sequence, 2u);
  EXPECT_EQ(m_Control.m_Starts.back().m_Run.m_Task, "job3.0");
}

/// Guards against resources that stay reserved for a run whose entry is lost.
TEST_F(LookAheadWorkerTest, aLostEntryLeavesNoReservation) {
  serveLookingAhead();
  m_Worker->entryUp(OtherEntry);
  PlaceTasks Large = makePlacement(1, 2);
  Large.m_Job.m_Entry = OtherEntry.m_Incarnation;
  Large.m_Required = {62000, 64, 0};
  place(Large, OtherEntry);
  PlaceTasks Held = makePlacement(1, 3);
  Held.m_Required = {4000, 64, 0};
  Held.m_ExpectedRunTime = seconds(1);
  place(Held);
  EXPECT_EQ(m_Control.m_Starts.size(), 6u);
  m_Worker->entryDown(OtherEntry);
  EXPECT_EQ(m_Control.m_Starts.size(), 7u);
}
