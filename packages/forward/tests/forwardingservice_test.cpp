#include "batch/tests/mocks/batchservicefake.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "forward/forwardmodule.h"
#include "membership/tests/mocks/linksfake.h"
#include "statechart/chartfolder.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

constexpr Incarnation Self{1};
constexpr Incarnation FirstPlacer{2};
constexpr Incarnation SecondPlacer{3};
constexpr std::int64_t TaskMilliCores = 8000;

Peer entry(Incarnation Id) {
  return {"entry-" + std::to_string(Id.m_Value), Id, "10.0.0.2:1", "z",
          Role::Entry};
}

ServiceRoom room(std::int64_t FreeMilliCores, std::vector<std::string> Racks) {
  return {"gatepost", FreeMilliCores, 640'000, std::move(Racks)};
}

BatchSpec spec(const std::string &Name = "a1") {
  BatchSpec Spec;
  Spec.m_Name = Name;
  Spec.m_Service = "gatepost";
  Spec.m_Tasks = 4;
  Spec.m_Required.m_MilliCores = TaskMilliCores;
  Spec.m_Deadline = milliseconds(1500);
  return Spec;
}

/// An entry whose peers and whose own workers are simulated by the test.
class ForwardingServiceTest : public testing::Test {
protected:
  ForwardingServiceTest()
      : m_Charts(CW_CHART_DIR),
        m_Forwarding(makeForwardingService(
            Self, {}, {}, {m_Charts, m_Jobs, m_Links, m_Timers, m_Metrics})) {}

  void addPlacer(Incarnation Id, std::int64_t FreeMilliCores,
                 std::vector<std::string> Racks = {"r1"}) {
    m_Forwarding->entryUp(entry(Id));
    receive(Id, PlacerState{true, {room(FreeMilliCores, std::move(Racks))}});
  }

  void receive(Incarnation From, Message Body) {
    EXPECT_TRUE(m_Forwarding->receive(From, Body));
  }

  void answer(Incarnation From, std::uint64_t Request, ResultCode Code) {
    receive(From, ForwardedJobAnswer{
                      Request, Code, seconds(1), {true, {room(500'000, {})}}});
  }

  JobId submit(BatchSpec Spec = spec()) {
    return m_Forwarding->submit(std::move(Spec),
                                [this](const BatchAnswer &Answer) {
                                  m_Codes.push_back(Answer.m_Code);
                                });
  }

  std::vector<std::pair<Incarnation, ForwardJob>> offers() const {
    return m_Links.sent<ForwardJob>();
  }

  ChartFolder m_Charts;
  BatchServiceFake m_Jobs;
  LinksFake m_Links;
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  std::unique_ptr<IForwardingService> m_Forwarding;
  std::vector<ResultCode> m_Codes;
};

} // namespace

TEST_F(ForwardingServiceTest, RelaysTheOneAnswerOfTheOwner) {
  addPlacer(FirstPlacer, 500'000);
  submit();
  ASSERT_EQ(offers().size(), 1u);
  EXPECT_EQ(offers()[0].first, FirstPlacer);
  EXPECT_EQ(m_Forwarding->running(), 1u);
  answer(FirstPlacer, offers()[0].second.m_Request, ResultCode::Ok);
  answer(FirstPlacer, offers()[0].second.m_Request, ResultCode::TaskFailed);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::Ok});
  EXPECT_EQ(m_Metrics.of(Metric::LateResults), 1u);
  EXPECT_EQ(m_Forwarding->running(), 0u);
}

TEST_F(ForwardingServiceTest, KeepsTheJobWhileItsOwnWorkersHaveRoom) {
  m_Jobs.m_Rooms = {room(500'000, {"r1"})};
  addPlacer(FirstPlacer, 600'000);
  submit();
  EXPECT_TRUE(offers().empty());
  ASSERT_EQ(m_Jobs.m_Submitted.size(), 1u);
  m_Jobs.answer(0, ResultCode::Ok);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::Ok});
}

TEST_F(ForwardingServiceTest, SendsTheJobToAPlacerThatSeesItsData) {
  m_Jobs.m_Rooms = {room(500'000, {"r1"})};
  addPlacer(FirstPlacer, 600'000, {"r1"});
  addPlacer(SecondPlacer, 1000, {"r7"});
  BatchSpec Spec = spec();
  Spec.m_Rack = "r7";
  submit(Spec);
  ASSERT_EQ(offers().size(), 1u);
  EXPECT_EQ(offers()[0].first, SecondPlacer);
}

TEST_F(ForwardingServiceTest, CountsTheAgeOfTheJobFromItsArrival) {
  m_Jobs.m_Rooms = {room(500'000, {"r1"})};
  addPlacer(FirstPlacer, 500'000);
  submit();
  m_Timers.advance(milliseconds(20));
  m_Jobs.answer(0, ResultCode::DeadlineUnreachable);
  ASSERT_EQ(offers().size(), 1u);
  EXPECT_EQ(offers()[0].second.m_Spec.m_Age, milliseconds(20));
}

/// At the crest one placer is full while another one has room.
TEST_F(ForwardingServiceTest, OffersARefusedJobToOneMorePlacerWithRoom) {
  addPlacer(FirstPlacer, 500'000);
  submit();
  addPlacer(SecondPlacer, 500'000);
  std::uint64_t Request = offers()[0].second.m_Request;
  answer(FirstPlacer, Request, ResultCode::DeadlineUnreachable);
  ASSERT_EQ(offers().size(), 2u);
  EXPECT_EQ(offers()[1].first, SecondPlacer);
  EXPECT_TRUE(m_Codes.empty());
  answer(FirstPlacer, Request, ResultCode::Ok);
  EXPECT_TRUE(m_Codes.empty()) << "it is no longer the owner";
  answer(SecondPlacer, Request, ResultCode::DeadlineUnreachable);
  EXPECT_EQ(offers().size(), 2u);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::DeadlineUnreachable});
}

TEST_F(ForwardingServiceTest, RefusesAtOnceWhenNoOtherPlacerHasRoom) {
  addPlacer(FirstPlacer, 500'000);
  submit();
  addPlacer(SecondPlacer, 4 * TaskMilliCores - 1);
  answer(FirstPlacer, offers()[0].second.m_Request,
         ResultCode::DeadlineUnreachable);
  EXPECT_EQ(offers().size(), 1u);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::DeadlineUnreachable});
}

TEST_F(ForwardingServiceTest, NeverOffersAJobAgainThatMayHaveRun) {
  addPlacer(FirstPlacer, 500'000);
  submit();
  addPlacer(SecondPlacer, 500'000);
  answer(FirstPlacer, offers()[0].second.m_Request, ResultCode::AgentLost);
  EXPECT_EQ(offers().size(), 1u);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::AgentLost});
}

TEST_F(ForwardingServiceTest, ALostOwnerLeavesTheOutcomeUnknown) {
  addPlacer(FirstPlacer, 500'000);
  submit();
  addPlacer(SecondPlacer, 500'000);
  m_Forwarding->entryDown(entry(FirstPlacer));
  EXPECT_EQ(offers().size(), 1u);
  EXPECT_EQ(m_Codes, std::vector{ResultCode::OwnerLost});
  EXPECT_EQ(outcomeOf(ResultCode::OwnerLost), Outcome::OutcomeUnknown);
}

TEST_F(ForwardingServiceTest, CancelsAtTheOwnerWhenTheLastCallerLeaves) {
  addPlacer(FirstPlacer, 500'000);
  JobId First = submit();
  JobId Second = submit();
  EXPECT_EQ(First, Second) << "the same job joins";
  EXPECT_EQ(offers().size(), 1u);
  m_Forwarding->removeCaller(First);
  EXPECT_TRUE(m_Links.sent<CancelForwardedJob>().empty());
  m_Forwarding->removeCaller(Second);
  EXPECT_EQ(m_Links.sent<CancelForwardedJob>().size(), 1u);
  EXPECT_TRUE(m_Codes.empty()) << "the owner answers";
  // The cancellation and a refusal cross.
  addPlacer(SecondPlacer, 500'000);
  answer(FirstPlacer, offers()[0].second.m_Request,
         ResultCode::DeadlineUnreachable);
  EXPECT_EQ(offers().size(), 1u);
  EXPECT_EQ(m_Codes.size(), 2u);
}

TEST_F(ForwardingServiceTest, AnswersByTheDeadlineWithoutTheOwner) {
  addPlacer(FirstPlacer, 500'000);
  submit();
  m_Timers.advance(milliseconds(1499));
  EXPECT_EQ(m_Codes, std::vector{ResultCode::DeadlineWhileRunning});
  EXPECT_EQ(m_Links.sent<CancelForwardedJob>().size(), 1u);
}

TEST_F(ForwardingServiceTest, OwnsJobsOfOtherEntries) {
  m_Forwarding->entryUp(entry(FirstPlacer));
  receive(FirstPlacer, ForwardJob{7, spec("b1")});
  receive(FirstPlacer, ForwardJob{8, spec("b2")});
  ASSERT_EQ(m_Jobs.m_Submitted.size(), 2u);
  m_Jobs.answer(0, ResultCode::Ok);
  auto Answers = m_Links.sent<ForwardedJobAnswer>();
  ASSERT_EQ(Answers.size(), 1u);
  EXPECT_EQ(Answers[0].first, FirstPlacer);
  EXPECT_EQ(Answers[0].second.m_Request, 7u);
  receive(FirstPlacer, CancelForwardedJob{8});
  EXPECT_EQ(m_Jobs.m_Removed.size(), 1u);
}

/// The callers of a lost forwarder send their jobs again elsewhere.
TEST_F(ForwardingServiceTest, StopsTheJobsOfALostForwarder) {
  m_Forwarding->entryUp(entry(FirstPlacer));
  receive(FirstPlacer, ForwardJob{7, spec("b1")});
  m_Forwarding->entryDown(entry(FirstPlacer));
  EXPECT_EQ(m_Jobs.m_Removed.size(), 1u);
  m_Jobs.answer(0, ResultCode::CancelledWhileRunning);
  EXPECT_TRUE(m_Links.sent<ForwardedJobAnswer>().empty());
}

/// The agents that run the jobs are told how long their forwarders have been
/// silent, and when none has open jobs any more.
TEST_F(ForwardingServiceTest, StatesWhenTheForwardersOfItsJobsWereAlive) {
  m_Forwarding->entryUp(entry(FirstPlacer));
  m_Forwarding->entryUp(entry(SecondPlacer));
  m_Links.m_ConfirmedAliveAt[FirstPlacer] = TimePoint(seconds(5));
  m_Links.m_ConfirmedAliveAt[SecondPlacer] = TimePoint(seconds(4));
  EXPECT_EQ(m_Forwarding->forwardersAliveAt(), TimePoint::max());
  receive(FirstPlacer, ForwardJob{7, spec("b1")});
  EXPECT_EQ(m_Forwarding->forwardersAliveAt(), TimePoint(seconds(5)));
  EXPECT_TRUE(m_Forwarding->ownsJobsOf(FirstPlacer));
  EXPECT_FALSE(m_Forwarding->ownsJobsOf(SecondPlacer));
  receive(SecondPlacer, ForwardJob{7, spec("b2")});
  EXPECT_EQ(m_Forwarding->forwardersAliveAt(), TimePoint(seconds(4)));
  m_Jobs.answer(1, ResultCode::Ok);
  EXPECT_EQ(m_Forwarding->forwardersAliveAt(), TimePoint(seconds(5)));
  m_Jobs.answer(0, ResultCode::Ok);
  EXPECT_EQ(m_Forwarding->forwardersAliveAt(), TimePoint::max());
}

/// The order to stop must not go with a later confirmation than that of the
/// lost forwarder.
TEST_F(ForwardingServiceTest, ALostForwarderCountsUntilItsJobsAreStopped) {
  m_Forwarding->entryUp(entry(FirstPlacer));
  m_Links.m_ConfirmedAliveAt[FirstPlacer] = TimePoint(seconds(5));
  receive(FirstPlacer, ForwardJob{7, spec("b1")});
  receive(FirstPlacer, ForwardJob{8, spec("b2")});
  std::vector<TimePoint> StatedAtRemoval;
  m_Jobs.m_OnRemove = [&] {
    StatedAtRemoval.push_back(m_Forwarding->forwardersAliveAt());
  };
  m_Forwarding->entryDown(entry(FirstPlacer));
  EXPECT_EQ(StatedAtRemoval, std::vector(2, TimePoint(seconds(5))));
  EXPECT_EQ(m_Forwarding->forwardersAliveAt(), TimePoint::max())
      << "the runs that are still being stopped have their own limit";
}

/// A job that is sent again meets an entry that still stops its earlier runs.
TEST_F(ForwardingServiceTest, DoesNotForwardAJobWhoseEarlierRunsAreStopped) {
  addPlacer(FirstPlacer, 500'000);
  m_Jobs.m_Stopping = {"a1"};
  submit();
  EXPECT_TRUE(offers().empty());
  ASSERT_EQ(m_Jobs.m_Submitted.size(), 1u);
  m_Jobs.answer(0, ResultCode::EarlierRunsStopping);
  EXPECT_TRUE(offers().empty());
  EXPECT_EQ(m_Codes, std::vector{ResultCode::EarlierRunsStopping});
}

TEST_F(ForwardingServiceTest, RefusesNewJobsOfOthersWhileDraining) {
  m_Forwarding->entryUp(entry(FirstPlacer));
  m_Forwarding->drain();
  receive(FirstPlacer, ForwardJob{7, spec("b1")});
  auto Answers = m_Links.sent<ForwardedJobAnswer>();
  ASSERT_EQ(Answers.size(), 1u);
  EXPECT_EQ(Answers[0].second.m_Code, ResultCode::Draining);
  EXPECT_FALSE(Answers[0].second.m_State.m_IsAccepting);
  EXPECT_TRUE(m_Jobs.m_Submitted.empty());
}

TEST_F(ForwardingServiceTest, IsNotIdleWhileAnAnswerIsOnItsWay) {
  m_Forwarding->entryUp(entry(FirstPlacer));
  receive(FirstPlacer, ForwardJob{7, spec("b1")});
  m_Forwarding->drain();
  m_Jobs.answer(0, ResultCode::Ok);
  EXPECT_EQ(m_Forwarding->running(), 1u);
  m_Timers.advance(seconds(1));
  EXPECT_EQ(m_Forwarding->running(), 0u);
}

TEST_F(ForwardingServiceTest, PlacesAgainElsewhereWhatADrainingOwnerRefused) {
  addPlacer(FirstPlacer, 500'000);
  submit();
  addPlacer(SecondPlacer, 0);
  answer(FirstPlacer, offers()[0].second.m_Request, ResultCode::Draining);
  ASSERT_EQ(offers().size(), 2u);
  EXPECT_EQ(offers()[1].first, SecondPlacer);
}

TEST_F(ForwardingServiceTest, StatesItsRoomWhenItChanges) {
  m_Forwarding->entryUp(entry(FirstPlacer));
  m_Jobs.m_Rooms = {room(500'000, {"r1"})};
  m_Timers.advance(seconds(1));
  auto States = m_Links.sent<PlacerState>();
  ASSERT_EQ(States.size(), 2u);
  EXPECT_EQ(States[1].second.m_Rooms, m_Jobs.m_Rooms);
}

/// Guards against a job that runs on after its cancel was answered: its caller
/// sent it to its owner as well, and the entry that forwarded it is silent.
TEST_F(ForwardingServiceTest, CancelsAJobThatAnotherEntryForwardedAsWell) {
  m_Jobs.m_Rooms = {room(500'000, {"r1"})};
  addPlacer(FirstPlacer, 1000);
  receive(FirstPlacer, ForwardJob{5, spec("a1")});
  submit(spec("a1"));
  ASSERT_EQ(m_Jobs.m_Submitted.size(), 2u);
  EXPECT_TRUE(m_Forwarding->cancel("a1"));
  EXPECT_EQ(m_Jobs.m_Cancelled, std::vector<std::string>{"a1"});
}

/// Guards against entries that place jobs by their own figures alone, and
/// against the bytes that others would have to read for nothing.
TEST_F(ForwardingServiceTest, StatesTheWorkOfGroupsToPlacers) {
  addPlacer(FirstPlacer, 500'000);
  m_Forwarding->entryUp(entry(SecondPlacer));
  m_Links.m_Sent.clear();
  m_Jobs.m_GroupWork = {{"r-1", "z", 0, 0, 1, 1, 1}};
  m_Jobs.m_Rooms = {room(500'000, {"r1"})};
  m_Timers.advance(milliseconds(200));
  std::map<Incarnation, std::size_t> Groups;
  for (const auto &Sent : m_Links.sent<PlacerState>())
    Groups[Sent.first] = Sent.second.m_GroupWork.size();
  EXPECT_EQ(Groups, (std::map<Incarnation, std::size_t>{{FirstPlacer, 1},
                                                        {SecondPlacer, 0}}));
  receive(FirstPlacer, PlacerState{true, {}, m_Jobs.m_GroupWork});
  EXPECT_EQ(m_Jobs.m_ReceivedGroupWork.back().second.size(), 1u);
}

/// Guards against a job that counts as offered at each owner that decides
/// against it, or at none because the first one drains.
TEST_F(ForwardingServiceTest, ASecondOfferSaysWhetherTheFirstWasDecidedOn) {
  for (ResultCode Code :
       {ResultCode::Draining, ResultCode::DeadlineUnreachable}) {
    m_Links.m_Sent.clear();
    addPlacer(FirstPlacer, 500'000);
    submit(spec("a" + std::to_string(static_cast<int>(Code))));
    addPlacer(SecondPlacer, 500'000);
    answer(FirstPlacer, offers()[0].second.m_Request, Code);
    ASSERT_EQ(offers().size(), 2u);
    EXPECT_FALSE(offers()[0].second.m_Spec.m_WasRefused);
    EXPECT_EQ(offers()[1].second.m_Spec.m_WasRefused,
              Code == ResultCode::DeadlineUnreachable);
    m_Forwarding->entryDown(entry(SecondPlacer));
  }
}
