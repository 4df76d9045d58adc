#include "http/blockinghttp.h"
#include "http/httpserver.h"
#include "soak/faultplan.h"
#include "soak/soak.h"

#include <atomic>
#include <gmock/gmock.h>
#include <stdexcept>
#include <thread>

using namespace cyclamenwalk;
using testing::HasSubstr;
using testing::IsEmpty;

namespace {

constexpr std::uint32_t SoakSeed = 7;

/// Reports the events of each kind of violation to the checker directly.
class SoakCheckerTest : public testing::Test {
protected:
  SoakCheckerTest() {
    m_Job.m_Name = "00000000000000a1";
    m_Job.m_Tasks = 2;
    m_Job.m_MilliCores = RunnerStandin::MilliCores / 2;
    m_Job.m_Spec = "20";
    m_Checker.recordSubmission(m_Job, Clock::now());
  }

  static ObservedRun run(int Index, std::uint32_t Number = 1,
                         const std::string &Runner = "i-1") {
    return {Runner, "00000000000000a1.0.0." + std::to_string(Index), Number,
            "20"};
  }

  void completeRun(const ObservedRun &Run,
                   const std::string &Outcome = "done") {
    m_Checker.started(Run);
    m_Checker.ended(Run, Outcome);
  }

  void expectViolation(const std::string &Text) const {
    auto Violations = m_Checker.violations();
    ASSERT_EQ(Violations.size(), 1u);
    EXPECT_THAT(Violations[0], HasSubstr(Text));
  }

  SoakChecker m_Checker;
  SoakJob m_Job;
};

} // namespace

TEST_F(SoakCheckerTest, acceptsACompletedJob) {
  completeRun(run(0));
  completeRun(run(1));
  m_Checker.recordAnswer(m_Job.m_Name, 200, "completed");
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
}

TEST_F(SoakCheckerTest, detectsTwoRunsOfATaskAtTheSameTime) {
  m_Checker.started(run(0));
  m_Checker.started(run(0, 2, "i-2"));
  expectViolation("00000000000000a1.0.0.0 started as run 2 at i-2 while run 1 "
                  "was in progress at i-1");
}

TEST_F(SoakCheckerTest, detectsTwoRunsOfOneNumberAtDifferentRunners) {
  m_Checker.started(run(0));
  m_Checker.started(run(0, 1, "i-2"));
  m_Checker.ended(run(0, 1, "i-2"), "done");
  expectViolation("started as run 1 at i-2 while run 1 was in progress at i-1");
  m_Checker.started(run(0, 2, "i-3"));
  EXPECT_EQ(m_Checker.violations().size(), 2u);
}

TEST_F(SoakCheckerTest, tellsWhichOrdersLostTheirAnswerOrCameLate) {
  m_Checker.started(run(0));
  m_Checker.recordOrder(run(0), CallFate::AnswerLost);
  m_Checker.started(run(0, 2, "i-2"));
  m_Checker.recordOrder(run(0, 2, "i-2"), CallFate::Late);
  expectViolation("[00000000000000a1.0.0.0 run 1 at i-1: answer lost; "
                  "00000000000000a1.0.0.0 run 2 at i-2: answered, late]");
}

TEST_F(SoakCheckerTest, detectsCompletedAnswerWithUnfinishedTask) {
  completeRun(run(0));
  m_Checker.recordAnswer(m_Job.m_Name, 200, "completed");
  expectViolation("00000000000000a1.0.0.1 is not done");
}

TEST_F(SoakCheckerTest, detectsRefusalOfAStartedJob) {
  completeRun(run(0));
  m_Checker.recordAnswer(m_Job.m_Name, 503, "");
  expectViolation("was refused; expected 0 task starts, got 1");
}

TEST_F(SoakCheckerTest, detectsStartAfterRefusal) {
  m_Checker.recordAnswer(m_Job.m_Name, 503, "");
  m_Checker.started(run(0));
  expectViolation("started after its job was refused");
}

TEST_F(SoakCheckerTest, detectsRunnerOverCapacity) {
  m_Checker.started(run(0));
  m_Checker.started(run(1));
  SoakJob Other = m_Job;
  Other.m_Name = "00000000000000b2";
  m_Checker.recordSubmission(Other, Clock::now());
  m_Checker.started({"i-1", "00000000000000b2.0.0.0", 1, "20"});
  expectViolation("uses 24000 millicores of its 16000");
}

TEST_F(SoakCheckerTest, detectsRunnerOverMemory) {
  SoakJob Other = m_Job;
  Other.m_Name = "00000000000000b2";
  Other.m_MilliCores = 1;
  Other.m_MemoryMb = RunnerStandin::MemoryMb;
  m_Checker.recordSubmission(Other, Clock::now());
  m_Checker.started({"i-1", "00000000000000b2.0.0.0", 1, "20"});
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
  m_Checker.started(run(0));
  expectViolation("uses 32784 MB of its 32768");
}

TEST_F(SoakCheckerTest, countsStoppedRunsUntilTheyEnd) {
  m_Checker.started(run(0));
  m_Checker.started(run(1));
  m_Checker.ended(run(0), "stopped");
  m_Checker.started(run(0, 2));
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
}

TEST_F(SoakCheckerTest, detectsRunAfterCancellation) {
  m_Checker.started(run(0));
  m_Checker.recordCancellation(m_Job.m_Name, Clock::now() - seconds(4));
  m_Checker.ended(run(0), "done");
  expectViolation("was in progress 4000 ms after its job's cancellation was "
                  "answered; the limit is 3050 ms");
}

TEST_F(SoakCheckerTest, detectsActiveRunAfterCancellation) {
  m_Checker.started(run(0));
  m_Checker.recordCancellation(m_Job.m_Name, Clock::now());
  m_Checker.checkActiveRuns(Clock::now() + seconds(3));
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
  m_Checker.checkActiveRuns(Clock::now() + milliseconds(3100));
  expectViolation("was in progress 3100 ms after its job's cancellation");
}

TEST_F(SoakCheckerTest, detectsStartAfterCancellation) {
  m_Checker.recordCancellation(m_Job.m_Name, Clock::now() - seconds(4));
  m_Checker.started(run(0));
  expectViolation("started 4000 ms after its job's cancellation was answered; "
                  "the limit is 3000 ms");
}

TEST_F(SoakCheckerTest, acceptsCancelledRunsNearADisruption) {
  TimePoint CancelledAt = Clock::now() - seconds(4);
  m_Checker.recordCancellation(m_Job.m_Name, CancelledAt);
  m_Checker.recordDisruption(CancelledAt + seconds(1),
                             CancelledAt + seconds(2));
  completeRun(run(0));
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
}

TEST_F(SoakCheckerTest, detectsStartOfAnUnknownJob) {
  m_Checker.started({"i-1", "00000000000000ff.0.0.0", 1, "20"});
  expectViolation("its job was never submitted");
}

TEST_F(SoakCheckerTest, detectsChangedSpec) {
  m_Checker.started({"i-1", "00000000000000a1.0.0.0", 1, "21"});
  expectViolation("with spec \"21\" instead of \"20\"");
}

TEST_F(SoakCheckerTest, detectsStartBeyondAttemptLimit) {
  for (std::uint32_t I = 1; I <= m_Job.m_MaxAttempts; ++I)
    completeRun(run(0, I), "failed");
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
  completeRun(run(0, 9));
  expectViolation("started after 3 failures; the limit is 3");
}

TEST_F(SoakCheckerTest, detectsLateStartAfterCallerDisconnected) {
  m_Checker.recordAbandonment(m_Job.m_Name, Clock::now() - seconds(4));
  m_Checker.started(run(0));
  expectViolation("after its caller disconnected; the limit is 3000 ms");
}

TEST_F(SoakCheckerTest, detectsReturnToOlderConfiguration) {
  m_Checker.recordRoute("entry-0 restart 0", 5, true);
  m_Checker.recordRoute("entry-0 restart 1", 4, true);
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
  m_Checker.recordRoute("entry-0 restart 0", 4, true);
  expectViolation("went back from configuration version 5 to version 4");
}

TEST(FaultPlan, isReproducibleAndStartsWithMaintenance) {
  FaultPlanOptions Options{
      {"entry-0"}, {"agent-0", "agent-1"}, seconds(30), 11};
  auto First = generateFaultPlan(Options);
  auto Second = generateFaultPlan(Options);
  ASSERT_EQ(First.size(), Second.size());
  ASSERT_FALSE(First.empty());
  EXPECT_TRUE(isMaintenance(First.front().m_Kind));
  for (std::size_t I = 0; I < First.size(); ++I) {
    EXPECT_EQ(First[I].m_Kind, Second[I].m_Kind);
    EXPECT_EQ(First[I].m_Start, Second[I].m_Start);
    EXPECT_EQ(First[I].m_Target, Second[I].m_Target);
  }
}

TEST(FaultPlan, drawsOnlyTheGroupsThatWereAskedFor) {
  FaultPlanOptions Options{
      {"entry-0"}, {"agent-0", "agent-1"}, seconds(30), 11, {"late"}};
  auto Plan = generateFaultPlan(Options);
  ASSERT_FALSE(Plan.empty());
  for (const ScheduledFault &Fault : Plan)
    EXPECT_TRUE(Fault.m_Kind == FaultKind::LateCalls ||
                Fault.m_Kind == FaultKind::RunnerDelay);
  Options.m_Groups = {"nonsense"};
  EXPECT_THROW(generateFaultPlan(Options), std::invalid_argument);
}

TEST(FaultPlan, pairsOverlap) {
  FaultPlanOptions Options{{"entry-0", "entry-1"},
                           {"agent-0", "agent-1", "agent-2"},
                           seconds(30),
                           3,
                           {"pairs"}};
  auto Plan = generateFaultPlan(Options);
  int Overlaps = 0;
  for (std::size_t I = 1; I < Plan.size(); ++I)
    Overlaps += Plan[I].m_Start < Plan[I - 1].end();
  EXPECT_GT(Overlaps, 5);
}

TEST(FaultProxy, forwardsBlocksDelaysAndResets) {
  HttpServer Server({"127.0.0.1:18491"});
  Server.onNotFound([](const HttpRequest &) { return HttpResponse(); });
  Server.start();
  FaultProxy Proxy("127.0.0.1:18492", "127.0.0.1:18491");
  HttpRequest Request;
  Request.m_Url = "http://127.0.0.1:18492/";
  EXPECT_EQ(sendHttpRequest(Request, seconds(5)).m_Status, 200);
  Proxy.setFault({{}, false, true});
  EXPECT_EQ(sendHttpRequest(Request, seconds(1)).m_Status, 0);
  Proxy.setFault({milliseconds(30), false, false});
  EXPECT_EQ(sendHttpRequest(Request, seconds(5)).m_Status, 200);
  Proxy.resetConnections();
  Proxy.setFault({});
  EXPECT_EQ(sendHttpRequest(Request, seconds(5)).m_Status, 200);
}

/// A server behind a proxy that counts the calls that it carries out.
class FaultProxyCallTest : public testing::Test {
protected:
  FaultProxyCallTest()
      : m_Server({"127.0.0.1:18491"}),
        m_Proxy("127.0.0.1:18492", "127.0.0.1:18491",
                [this](const std::string &, CallFate Fate) {
                  m_LostAnswers += Fate == CallFate::AnswerLost;
                  m_LateCalls += Fate == CallFate::Late;
                }) {
    m_Server.route("POST", "/", [this](const HttpRequest &) {
      ++m_Calls;
      return HttpResponse();
    });
    m_Server.start();
  }

  static int call() {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Url = "http://127.0.0.1:18492/";
    Request.m_Body = "{}";
    return sendHttpRequest(Request, milliseconds(500)).m_Status;
  }

  std::atomic<int> m_Calls = 0;
  std::atomic<int> m_LostAnswers = 0;
  std::atomic<int> m_LateCalls = 0;
  HttpServer m_Server;
  FaultProxy m_Proxy;
};

TEST_F(FaultProxyCallTest, losesTheAnswersOfCallsThatWereCarriedOut) {
  for (bool ClosesInOrder : {false, true}) {
    ProxyFault Fault;
    Fault.m_LossRatio = 1;
    Fault.m_ClosesInOrder = ClosesInOrder;
    m_Proxy.setFault(Fault);
    int CallsBefore = m_Calls;
    EXPECT_EQ(call(), 0);
    EXPECT_EQ(m_Calls, CallsBefore + 1);
  }
  EXPECT_EQ(m_LostAnswers, 2);
  m_Proxy.setFault({});
  EXPECT_EQ(call(), 200);
}

TEST_F(FaultProxyCallTest, refusesConnectionsForAWhile) {
  for (bool IsPortClosed : {false, true}) {
    m_Proxy.resetConnections(milliseconds(200), IsPortClosed);
    EXPECT_EQ(call(), 0);
    std::this_thread::sleep_for(milliseconds(250));
    EXPECT_EQ(call(), 200);
  }
  m_Proxy.setPortClosed(true);
  EXPECT_EQ(call(), 0);
  m_Proxy.setPortClosed(false);
  std::this_thread::sleep_for(milliseconds(50));
  EXPECT_EQ(call(), 200);
  EXPECT_EQ(m_Calls, 3);
}

TEST_F(FaultProxyCallTest, deliversCallsLate) {
  ProxyFault Fault;
  Fault.m_LateRatio = 1;
  Fault.m_LateDelay = milliseconds(700);
  m_Proxy.setFault(Fault);
  EXPECT_EQ(call(), 0);
  EXPECT_EQ(m_Calls, 0);
  std::this_thread::sleep_for(milliseconds(1000));
  EXPECT_EQ(m_Calls, 1);
  EXPECT_EQ(m_LateCalls, 1);
}

/// Runs the real programs as separate processes.
TEST(Soak, shortRunHasNoViolations) {
  SoakOptions Options;
  Options.m_Fleet = {2, 4, 16000};
  Options.m_Seed = SoakSeed;
  Options.m_Length = seconds(9);
  SoakResult Result = runSoak(Options);
  EXPECT_THAT(Result.m_Violations, IsEmpty()) << describe(Options, Result);
  EXPECT_GT(Result.m_Completed, 0u);
}

/// As shortRunHasNoViolations, with the faults of links to runners, of runners
/// that leave and of overlapping kills and pauses alone.
TEST(Soak, lostAnswersAndOverlappingFaultsCauseNoViolations) {
  SoakOptions Options;
  Options.m_Fleet = {2, 4, 16000};
  Options.m_Seed = SoakSeed;
  Options.m_Length = seconds(12);
  Options.m_ChecksRecovery = false;
  Options.m_FaultGroups = {"resets", "late", "pairs", "leaves", "heartbeats"};
  Options.m_MeanFaultGap = milliseconds(400);
  SoakResult Result = runSoak(Options);
  EXPECT_THAT(Result.m_Violations, IsEmpty()) << describe(Options, Result);
  EXPECT_GT(Result.m_Completed, 0u);
}
