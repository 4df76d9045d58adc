#include "http/blockinghttp.h"
#include "http/httpserver.h"
#include "soak/faultplan.h"
#include "soak/soak.h"

#include <gmock/gmock.h>

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
  expectViolation("00000000000000a1.0.0.0 started as run 2 while run 1 "
                  "was in progress");
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
