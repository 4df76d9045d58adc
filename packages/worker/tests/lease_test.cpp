#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "membership/tests/mocks/linksfake.h"
#include "statechart/chartfolder.h"
#include "worker/tests/mocks/backendcontrolfake.h"
#include "worker/workermodule.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

/// Callers send a job again after this time.
constexpr Duration ResendTime = milliseconds(1300);
/// A server's clock may be this much slow, and a stop takes this long.
constexpr double ClockDrift = 0.02;
constexpr Duration StopTime = milliseconds(50);
/// How old the confirmation that an entry is alive may be in steady state.
constexpr Duration SteadyConfirmationAge = milliseconds(400);
const Peer Entry{"entry-1", {7}, "10.0.0.1:1", "zone-a", Role::Entry};
const Peer OtherEntry{"entry-2", {8}, "10.0.0.2:1", "zone-a", Role::Entry};

/// A worker service whose server's clock runs with the timers, and two entries
/// that the test lets be confirmed alive.
class LeaseTest : public testing::Test {
protected:
  LeaseTest()
      : m_Charts(CW_CHART_DIR),
        m_Worker(makeWorkerService(
            m_Settings, {m_Charts, m_Links, m_Control, m_Timers, m_Metrics,
                         [] { return std::uint64_t{100}; }})) {
    m_Worker->entryUp(Entry);
    m_Worker->entryUp(OtherEntry);
    BackendAnnouncement Announcement;
    Announcement.m_Instance = "i-1";
    Announcement.m_Address = "10.0.0.9:80";
    Announcement.m_Service = "gatepost";
    Announcement.m_Capacity = {64000, 262144, 0};
    Announcement.m_Sequence = 1;
    m_Worker->announce(Announcement);
    m_Control.answerHolds();
  }

  /// Lets time pass, with progress and a reply to the holds each 20 ms.
  void play(Duration Span) {
    constexpr Duration Step = milliseconds(20);
    for (Duration Left = Span; Left > Duration::zero(); Left -= Step) {
      m_Timers.advance(Step);
      m_Control.m_Clock += Step;
      for (auto &Progress : m_Control.m_Running)
        ++Progress.second;
      m_Control.answerHolds();
    }
  }

  void place(const Peer &From, std::uint64_t Job) {
    PlaceTasks Body;
    Body.m_Job = {From.m_Incarnation, Job};
    Body.m_Name = "job" + std::to_string(Job);
    Body.m_Service = "gatepost";
    Body.m_Required = {10000, 64, 0};
    Body.m_ExpectedRunTime = seconds(5);
    Body.m_StartWithin = Body.m_OrderWithin = milliseconds(100);
    Body.m_Remaining = Body.m_MaxWait = seconds(9);
    Body.m_Tasks = {{0, 1}};
    Message Received = std::move(Body);
    m_Worker->receive(From.m_Incarnation, Received);
  }

  /// The time for which the server continues without a renewal.
  Duration leaseLeft() const {
    return m_Control.m_LeaseUntil - m_Control.m_Clock;
  }

  /// When the runs have ended if nothing renews their lease.
  TimePoint endedBy() const {
    Duration OldestClock = m_Settings.m_Lease + m_Settings.m_RenewalTimeout;
    return m_Timers.now() + leaseLeft() + scaled(OldestClock, ClockDrift) +
           StopTime;
  }

  void setConfirmed(const Peer &Of, TimePoint AliveAt) {
    m_Links.m_CallersAliveAt[Of.m_Incarnation] = AliveAt;
  }

  const WorkerSettings m_Settings;
  ChartFolder m_Charts;
  LinksFake m_Links;
  BackendControlFake m_Control;
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  std::unique_ptr<IWorkerService> m_Worker;
};

} // namespace

/// The entry is killed, and the agent freezes at any time after that.
TEST_F(LeaseTest, RunsEndBeforeTheCallersOfADeadEntrySendTheirJobsAgain) {
  place(Entry, 1);
  place(OtherEntry, 2);
  TimePoint DiedAt = m_Timers.now();
  setConfirmed(Entry, DiedAt);
  for (int Step = 0; Step < 40; ++Step) {
    play(milliseconds(20));
    EXPECT_LT(endedBy(), DiedAt + ResendTime) << "after " << Step << " steps";
  }
  EXPECT_EQ(m_Control.m_Running.size(), 2u);
}

/// The dead entry's runs are stopped in time, and the others go on.
TEST_F(LeaseTest, RunsOfOtherEntriesDoNotLapse) {
  place(Entry, 1);
  place(OtherEntry, 2);
  setConfirmed(Entry, m_Timers.now());
  for (int Step = 0; Step < 42; ++Step) {
    play(milliseconds(20));
    EXPECT_GT(leaseLeft(), milliseconds(250));
  }
  m_Worker->entryDown(Entry);
  play(milliseconds(60));
  EXPECT_EQ(m_Control.m_Running.count({"job2.0", 1}), 1u);
  EXPECT_EQ(m_Control.m_Running.size(), 1u);
  EXPECT_EQ(leaseLeft(), m_Settings.m_Lease);
}

TEST_F(LeaseTest, LeaseIsNotCutWhileEntriesAreConfirmedAlive) {
  place(Entry, 1);
  place(OtherEntry, 2);
  for (int Step = 0; Step < 100; ++Step) {
    setConfirmed(Entry, m_Timers.now() - SteadyConfirmationAge);
    play(milliseconds(20));
    EXPECT_EQ(leaseLeft(), m_Settings.m_Lease);
  }
}

TEST_F(LeaseTest, StopsOfALostEntryWithoutAnswerEndWithTheLease) {
  place(Entry, 1);
  place(OtherEntry, 2);
  TimePoint DiedAt = m_Timers.now();
  setConfirmed(Entry, DiedAt);
  play(milliseconds(800));
  m_Control.m_IgnoresStops = true;
  m_Worker->entryDown(Entry);
  // The entry is found again.
  setConfirmed(Entry, m_Timers.now() + seconds(9));
  m_Worker->entryUp(Entry);
  play(milliseconds(600));
  EXPECT_LT(endedBy(), DiedAt + ResendTime);
}

/// A caller's connection was reset, and its entry has the job stopped.
TEST_F(LeaseTest, StopOfAJobWithoutAnswerEndsWithTheLease) {
  place(Entry, 1);
  place(OtherEntry, 2);
  play(milliseconds(100));
  m_Control.m_IgnoresStops = true;
  TimePoint StoppedAt = m_Timers.now();
  setConfirmed(Entry, StoppedAt);
  Message Stop = StopJob{{Entry.m_Incarnation, 1}};
  m_Worker->receive(Entry.m_Incarnation, Stop);
  setConfirmed(Entry, StoppedAt + seconds(9));
  play(seconds(1));
  EXPECT_LT(endedBy(), StoppedAt + ResendTime);
}

TEST_F(LeaseTest, NoRunStartsUnderALeaseThatOutlastsIt) {
  place(OtherEntry, 2);
  play(milliseconds(100));
  setConfirmed(Entry, m_Timers.now() - milliseconds(600));
  place(Entry, 1);
  EXPECT_EQ(m_Control.m_Running.count({"job1.0", 1}), 0u);
  place(OtherEntry, 3);
  EXPECT_EQ(m_Control.m_Running.count({"job3.0", 1}), 1u);
  setConfirmed(Entry, m_Timers.now());
  play(milliseconds(20));
  EXPECT_EQ(m_Control.m_Running.count({"job1.0", 1}), 1u);
}

/// The first job after a pause comes from an entry whose confirmation is old.
TEST_F(LeaseTest, RunStartsAtOnceAtAnIdleServer) {
  play(seconds(1));
  setConfirmed(Entry, m_Timers.now() - milliseconds(600));
  place(Entry, 1);
  EXPECT_EQ(m_Control.m_Running.count({"job1.0", 1}), 1u);
}

/// The latest lease was sent before a shorter one.
TEST_F(LeaseTest, SilentServerIsGivenUpWhenItsLatestLeaseHasLapsed) {
  place(OtherEntry, 2);
  play(milliseconds(100));
  TimePoint LeaseEndsAt = m_Timers.now() + leaseLeft();
  setConfirmed(OtherEntry, m_Timers.now() - m_Settings.m_CallerTimeout);
  auto Results = [this] { return m_Links.sent<RunResults>().size(); };
  while (m_Timers.now() <= LeaseEndsAt + m_Settings.m_LeaseMargin) {
    EXPECT_EQ(Results(), 0u);
    m_Control.answerHolds(OrderOutcome::Unanswered);
    m_Timers.advance(milliseconds(10));
  }
  m_Timers.advance(milliseconds(50));
  m_Control.answerHolds(OrderOutcome::Unanswered);
  m_Timers.advance(milliseconds(10));
  EXPECT_EQ(Results(), 1u);
}

/// Guards against tasks that run twice: orders that were sent before the agent
/// knew of a restart give the restarted server, whose clock began anew, the
/// longest lease that it allows. Then its connections are refused.
TEST_F(LeaseTest, RestartedServerIsGivenUpWhenItsLongestLeaseHasLapsed) {
  m_Control.m_InstanceStartedAt = seconds(100);
  m_Control.answerHolds();
  place(OtherEntry, 1);
  play(milliseconds(100));
  m_Control.restart(seconds(200));
  m_Control.m_Clock = milliseconds(10);
  TimePoint LongestLease = m_Timers.now() + m_Settings.m_MaxLease;
  BackendAnnouncement Later;
  Later.m_Instance = "i-1";
  Later.m_InstanceStartedAt = seconds(200);
  Later.m_Address = "10.0.0.9:80";
  Later.m_Service = "gatepost";
  Later.m_Capacity = {64000, 262144, 0};
  Later.m_Sequence = 1;
  m_Worker->announce(Later);
  play(milliseconds(60));
  place(OtherEntry, 2);
  ASSERT_EQ(m_Control.m_Running.count({"job2.0", 1}), 1u);
  m_Links.m_Sent.clear();
  while (m_Timers.now() <= LongestLease) {
    m_Control.answerHolds(OrderOutcome::NotSent);
    m_Timers.advance(milliseconds(10));
    ASSERT_TRUE(m_Links.sent<RunResults>().empty())
        << "given up " << toMilliseconds(LongestLease - m_Timers.now())
        << " ms too early";
  }
}
