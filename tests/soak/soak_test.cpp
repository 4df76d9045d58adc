#include "http/blockinghttp.h"
#include "http/httpserver.h"
#include "soak/faultplan.h"
#include "soak/soak.h"

#include <gmock/gmock.h>

using namespace cyclamenwalk;
using testing::HasSubstr;
using testing::IsEmpty;

namespace {

constexpr std::uint32_t CiSeed = 7;

/// Each violation is brought about by hand: the checker has to see it.
class SoakCheckerTest : public testing::Test {
protected:
  SoakCheckerTest() {
    m_Job.m_Name = "00000000000000a1";
    m_Job.m_Tasks = 2;
    m_Job.m_MilliCores = RunnerStandin::MilliCores / 2;
    m_Job.m_Spec = "20";
    m_Checker.submitted(m_Job, Clock::now());
  }

  static ObservedRun run(int Index, std::uint32_t Number = 1,
                         const std::string &Runner = "i-1") {
    return {Runner, "00000000000000a1.0.0." + std::to_string(Index), Number,
            "20"};
  }

  void runToEnd(const ObservedRun &Run, const std::string &How = "done") {
    m_Checker.started(Run);
    m_Checker.ended(Run, How);
  }

  void expectOnly(const std::string &Part) const {
    auto Found = m_Checker.violations();
    ASSERT_EQ(Found.size(), 1u);
    EXPECT_THAT(Found[0], HasSubstr(Part));
  }

  SoakChecker m_Checker;
  SoakJob m_Job;
};

} // namespace

TEST_F(SoakCheckerTest, acceptsAJobThatIsServed) {
  runToEnd(run(0));
  runToEnd(run(1));
  m_Checker.answered(m_Job.m_Name, 200, "completed");
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
}

TEST_F(SoakCheckerTest, seesTwoRunsAtTheSameTime) {
  m_Checker.started(run(0));
  m_Checker.started(run(0, 2, "i-2"));
  expectOnly("two runs at the same time");
}

TEST_F(SoakCheckerTest, seesAPartialAnswer) {
  runToEnd(run(0));
  m_Checker.answered(m_Job.m_Name, 200, "completed");
  expectOnly("not done");
}

TEST_F(SoakCheckerTest, seesAFalseRefusal) {
  runToEnd(run(0));
  m_Checker.answered(m_Job.m_Name, 503, "");
  expectOnly("refused, but it has run");
}

TEST_F(SoakCheckerTest, seesAStartThatFollowsTheRefusal) {
  m_Checker.answered(m_Job.m_Name, 503, "");
  m_Checker.started(run(0));
  expectOnly("started after its refusal");
}

TEST_F(SoakCheckerTest, seesMoreThanFits) {
  m_Checker.started(run(0));
  m_Checker.started(run(1));
  SoakJob Other = m_Job;
  Other.m_Name = "00000000000000b2";
  m_Checker.submitted(Other, Clock::now());
  m_Checker.started({"i-1", "00000000000000b2.0.0.0", 1, "20"});
  expectOnly("more is started than fits");
}

TEST_F(SoakCheckerTest, seesWhatNobodyAskedFor) {
  m_Checker.started({"i-1", "00000000000000ff.0.0.0", 1, "20"});
  expectOnly("nobody asked");
}

TEST_F(SoakCheckerTest, seesAnotherSpec) {
  m_Checker.started({"i-1", "00000000000000a1.0.0.0", 1, "21"});
  expectOnly("another spec");
}

TEST_F(SoakCheckerTest, seesOneAttemptTooMany) {
  for (std::uint32_t I = 1; I <= m_Job.m_MaxAttempts; ++I)
    runToEnd(run(0, I), "failed");
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
  runToEnd(run(0, 9));
  expectOnly("after its last attempt");
}

TEST_F(SoakCheckerTest, seesAStartLongAfterTheCallerHasLeft) {
  m_Checker.abandoned(m_Job.m_Name, Clock::now() - seconds(4));
  m_Checker.started(run(0));
  expectOnly("long after its caller had left");
}

TEST_F(SoakCheckerTest, seesAnEntryThatGoesBack) {
  m_Checker.sawRoute("entry-0 life 0", 5, true);
  m_Checker.sawRoute("entry-0 life 1", 4, true);
  EXPECT_THAT(m_Checker.violations(), IsEmpty());
  m_Checker.sawRoute("entry-0 life 0", 4, true);
  expectOnly("went back to version 4");
}

TEST(FaultPlan, isTheSameForASeedAndStartsWithPlannedWork) {
  PlanForm Form{{"entry-0"}, {"agent-0", "agent-1"}, seconds(30), 11};
  auto First = drawPlan(Form);
  auto Second = drawPlan(Form);
  ASSERT_EQ(First.size(), Second.size());
  ASSERT_FALSE(First.empty());
  EXPECT_TRUE(isPlanned(First.front().m_Kind));
  for (std::size_t I = 0; I < First.size(); ++I) {
    EXPECT_EQ(First[I].m_Kind, Second[I].m_Kind);
    EXPECT_EQ(First[I].m_At, Second[I].m_At);
    EXPECT_EQ(First[I].m_Target, Second[I].m_Target);
  }
}

TEST(FaultProxy, passesCutsAndResets) {
  HttpServer Server({"127.0.0.1:18491"});
  Server.onNotFound([](const HttpRequest &) { return HttpResponse(); });
  Server.start();
  FaultProxy Proxy("127.0.0.1:18492", "127.0.0.1:18491");
  HttpRequest Request;
  Request.m_Url = "http://127.0.0.1:18492/";
  EXPECT_EQ(callHttp(Request, seconds(5)).m_Status, 200);
  Proxy.setFault({{}, false, true});
  EXPECT_EQ(callHttp(Request, seconds(1)).m_Status, 0);
  Proxy.setFault({milliseconds(30), false, false});
  EXPECT_EQ(callHttp(Request, seconds(5)).m_Status, 200);
  Proxy.resetConnections();
  Proxy.setFault({});
  EXPECT_EQ(callHttp(Request, seconds(5)).m_Status, 200);
}

/// The real programs as separate processes, with faults from one seed.
TEST(Soak, aShortRunKeepsThePromises) {
  SoakForm Form;
  Form.m_Fleet = {2, 4, 16000};
  Form.m_Seed = CiSeed;
  Form.m_Length = seconds(9);
  SoakResult Result = runSoak(Form);
  EXPECT_THAT(Result.m_Violations, IsEmpty()) << describe(Form, Result);
  EXPECT_GT(Result.m_Completed, 0u);
}
