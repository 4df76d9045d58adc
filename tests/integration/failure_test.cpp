#include "support/site.h"

#include <csignal>
#include <future>
#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

using namespace cyclamenwalk;
using testing::IsEmpty;

namespace {

JobOptions makeJob(std::size_t Tasks, Duration RunTime) {
  JobOptions Options;
  Options.m_Tasks = Tasks;
  Options.m_RunTime = RunTime;
  Options.m_Deadline = seconds(20);
  return Options;
}

JobOptions makeKeyedJob(const std::string &Reference) {
  JobOptions Options;
  Options.m_Reference = Reference;
  Options.m_IdempotencyKey = Reference;
  return Options;
}

/// Submits a job from another thread, so that the test can inject a fault.
std::future<CallerAnswer> submitAsync(Site &TestSite, int Entry,
                                      const JobOptions &Options) {
  return std::async(std::launch::async, [&TestSite, Entry, Options] {
    return TestSite.submit(Entry, Options);
  });
}

bool waitForStarts(const Site &TestSite, int Count) {
  return Site::waitFor([&] { return TestSite.log().starts() >= Count; });
}

std::size_t countAnswers(const Site &TestSite, ResultCode Code) {
  auto Answers = TestSite.answers();
  return static_cast<std::size_t>(std::count_if(
      Answers.begin(), Answers.end(),
      [Code](const CallerAnswer &Answer) { return Answer.m_Code == Code; }));
}

} // namespace

TEST(Failure, jobFailsWhenBackendIsKilled) {
  Site TestSite(20000, 2, 2);
  auto Answer = submitAsync(TestSite, 0, makeJob(8, seconds(2)));
  ASSERT_TRUE(waitForStarts(TestSite, 8));
  TestSite.backend(0).signal(SIGKILL);
  EXPECT_EQ(Answer.get().m_Code, ResultCode::BackendLost);
  TestSite.startBackend(0);
  ASSERT_TRUE(Site::waitFor([&] { return TestSite.hasWorkers(1, 2); }));
  EXPECT_EQ(TestSite.submit(1, makeJob(8, milliseconds(20))).m_Code,
            ResultCode::Ok);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, jobFailsWhenAgentIsKilledAndRestarted) {
  Site TestSite(20100, 2, 2);
  auto Answer = submitAsync(TestSite, 0, makeJob(8, seconds(3)));
  ASSERT_TRUE(waitForStarts(TestSite, 8));
  TestSite.agent(0).signal(SIGKILL);
  TestSite.startAgent(0);
  EXPECT_EQ(Answer.get().m_Code, ResultCode::AgentLost);
  ASSERT_TRUE(Site::waitFor([&] { return TestSite.hasWorkers(0, 2); }));
  EXPECT_EQ(TestSite.submit(0, makeJob(8, milliseconds(20))).m_Code,
            ResultCode::Ok);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, requestRunsOnceWhenItsEntryIsKilled) {
  Site TestSite(20200, 2, 2);
  JobOptions Options = makeKeyedJob("pump-order");
  Options.m_RunTime = seconds(2);
  auto First = submitAsync(TestSite, 0, Options);
  ASSERT_TRUE(waitForStarts(TestSite, 1));
  TestSite.entry(0).signal(SIGKILL);
  EXPECT_EQ(First.get().m_Job, "");
  CallerAnswer Second = TestSite.submit(1, Options);
  EXPECT_EQ(outcomeOf(Second.m_Code), Outcome::OutcomeUnknown);
  TestSite.startEntry(0);
  ASSERT_TRUE(Site::waitFor([&] { return TestSite.hasWorkers(0, 2); }));
  EXPECT_EQ(outcomeOf(TestSite.submit(0, Options).m_Code),
            Outcome::OutcomeUnknown);
  EXPECT_EQ(TestSite.log().referenceStarts("pump-order"), 1);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, agentPausedBeyondItsLeaseRejoins) {
  Site TestSite(20300, 2, 2);
  auto Answer = submitAsync(TestSite, 0, makeJob(8, seconds(1)));
  ASSERT_TRUE(waitForStarts(TestSite, 8));
  TestSite.agent(0).signal(SIGSTOP);
  EXPECT_EQ(Answer.get().m_Code, ResultCode::AgentLost);
  EXPECT_EQ(TestSite.submit(0, makeJob(4, milliseconds(20))).m_Code,
            ResultCode::Ok);
  TestSite.agent(0).signal(SIGCONT);
  ASSERT_TRUE(Site::waitFor([&] { return TestSite.hasWorkers(0, 2); }));
  EXPECT_EQ(TestSite.submit(0, makeJob(8, milliseconds(20))).m_Code,
            ResultCode::Ok);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, idempotencyKeysRunOnceWhenTheirEntryIsPaused) {
  Site TestSite(20400, 2, 2);
  std::vector<std::future<CallerAnswer>> Answers;
  Answers.reserve(20);
  for (int I = 0; I < 20; ++I)
    Answers.push_back(
        submitAsync(TestSite, 0, makeKeyedJob("k" + std::to_string(I))));
  TestSite.entry(0).signal(SIGSTOP);
  std::vector<std::future<CallerAnswer>> RepeatedAnswers;
  RepeatedAnswers.reserve(20);
  for (int I = 0; I < 20; ++I)
    RepeatedAnswers.push_back(
        submitAsync(TestSite, 1, makeKeyedJob("k" + std::to_string(I))));
  std::this_thread::sleep_for(seconds(8));
  TestSite.entry(0).signal(SIGCONT);
  for (auto *Futures : {&Answers, &RepeatedAnswers})
    for (auto &Future : *Futures)
      Future.get();
  for (int I = 0; I < 20; ++I)
    EXPECT_LE(TestSite.log().referenceStarts("k" + std::to_string(I)), 1);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, ticketsAndConfigurationSurviveStoreOutage) {
  Site TestSite(20500, 2, 2);
  TestSite.setPlatformFault("down");
  JobOptions TicketJob;
  TicketJob.m_Reference = "by-ticket";
  TicketJob.m_Ticket = TestSite.createTicket(0);
  EXPECT_EQ(TestSite.submit(0, TicketJob).m_Code, ResultCode::Ok);
  EXPECT_EQ(TestSite.submit(0, TicketJob).m_Code, ResultCode::Ok);
  // The other entry forwards the request to the entry that issued the ticket.
  EXPECT_EQ(TestSite.submit(1, TicketJob).m_Code, ResultCode::Ok);
  EXPECT_EQ(TestSite.log().referenceStarts("by-ticket"), 1);
  EXPECT_EQ(TestSite.submit(0, makeKeyedJob("by-key")).m_Code,
            ResultCode::ClaimUnavailable);
  std::string NewConfiguration =
      std::string(Site::Configuration) + "[team extra]\n";
  EXPECT_EQ(TestSite.applyConfiguration(0, NewConfiguration, "during-outage", 1)
                .m_Status,
            503);
  EXPECT_EQ(TestSite.configurationVersion(0), 1u);

  // A restarted entry gets its state from its peers.
  TestSite.entry(1).signal(SIGKILL);
  TestSite.entry(1).wait(seconds(5));
  TestSite.startEntry(1);
  ASSERT_TRUE(
      Site::waitFor([&] { return TestSite.configurationVersion(1) == 1; }));
  ASSERT_TRUE(Site::waitFor([&] { return TestSite.hasWorkers(1, 2); }));
  EXPECT_EQ(TestSite.submit(1, makeJob(4, milliseconds(20))).m_Code,
            ResultCode::Ok);

  TestSite.setPlatformFault("none");
  ASSERT_TRUE(Site::waitFor([&] {
    return TestSite.applyConfiguration(1, NewConfiguration, "after-outage", 1)
               .m_Status == 200;
  }));
  EXPECT_TRUE(
      Site::waitFor([&] { return TestSite.configurationVersion(0) == 2; }));
  EXPECT_EQ(TestSite.submit(0, makeKeyedJob("by-key")).m_Code, ResultCode::Ok);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, writesTakeEffectOnceWhenStoreRepliesAreLost) {
  Site TestSite(20600, 2, 2);
  TestSite.setPlatformFault("reply_lost");
  auto Apply = std::async(std::launch::async, [&TestSite] {
    return TestSite.applyConfiguration(
        0, std::string(Site::Configuration) + "[team x]\n", "lost", 1);
  });
  EXPECT_EQ(TestSite.submit(0, makeKeyedJob("claim")).m_Code, ResultCode::Ok);
  HttpResponse First = Apply.get();
  TestSite.setPlatformFault("none");
  HttpResponse Second = TestSite.applyConfiguration(
      1, std::string(Site::Configuration) + "[team x]\n", "lost", 1);
  EXPECT_EQ(Second.m_Status, 200);
  EXPECT_TRUE(
      Site::waitFor([&] { return TestSite.configurationVersion(1) == 2; }));
  EXPECT_EQ(TestSite.log().referenceStarts("claim"), 1);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, concurrentAppliesHaveOneWinner) {
  Site TestSite(20700, 2, 1);
  for (std::uint64_t BaseVersion = 1; BaseVersion <= 5; ++BaseVersion) {
    std::vector<std::future<HttpResponse>> Applies;
    Applies.reserve(6);
    for (int I = 0; I < 6; ++I)
      Applies.push_back(std::async(std::launch::async, [&TestSite, I,
                                                        BaseVersion] {
        std::string Id = std::to_string(BaseVersion) + "-" + std::to_string(I);
        return TestSite.applyConfiguration(
            I % 2, std::string(Site::Configuration) + "[team r" + Id + "]\n",
            "race-" + Id, BaseVersion);
      }));
    int Accepted = 0;
    int Conflicts = 0;
    for (auto &Future : Applies) {
      HttpResponse Response = Future.get();
      Accepted += Response.m_Status == 200;
      Conflicts += Response.m_Body.find("\"winner\"") != std::string::npos;
    }
    EXPECT_EQ(Accepted, 1);
    EXPECT_EQ(Conflicts, 5);
    ASSERT_TRUE(Site::waitFor([&] {
      return TestSite.configurationVersion(0) == BaseVersion + 1 &&
             TestSite.configurationVersion(1) == BaseVersion + 1;
    }));
  }
}

TEST(Failure, gracefulStopsUnderLoadLoseNoJob) {
  Site TestSite(20800, 2, 3);
  for (int Entry = 0; Entry < 2; ++Entry)
    for (int I = 0; I < 3; ++I)
      TestSite.startLoad(Entry, makeJob(4, milliseconds(50)));
  ASSERT_TRUE(waitForStarts(TestSite, 50));
  TestSite.agent(0).signal(SIGTERM);
  EXPECT_EQ(TestSite.agent(0).wait(seconds(30)), 0);
  TestSite.backend(1).signal(SIGTERM);
  EXPECT_EQ(TestSite.backend(1).wait(seconds(30)), 0);
  TestSite.entry(0).signal(SIGTERM);
  EXPECT_EQ(TestSite.entry(0).wait(seconds(40)), 0);
  TestSite.stopLoad();
  // Callers of the stopped entry are refused or can't connect; all other jobs
  // succeed.
  std::size_t RefusedJobs =
      countAnswers(TestSite, ResultCode::Draining) +
      countAnswers(TestSite, ResultCode::EntryUnreachable);
  EXPECT_EQ(countAnswers(TestSite, ResultCode::Ok) + RefusedJobs,
            TestSite.answers().size());
  EXPECT_GE(countAnswers(TestSite, ResultCode::Ok), 20u);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
  // A request without an answer must not have run.
  std::size_t AnsweredTasks = countAnswers(TestSite, ResultCode::Ok) * 4;
  EXPECT_EQ(static_cast<std::size_t>(TestSite.log().starts()), AnsweredTasks);
}

TEST(Failure, failingWorkerIsEjected) {
  Site TestSite(20900, 1, 4);
  TestSite.backend(0).signal(SIGTERM);
  TestSite.backend(0).wait(seconds(10));
  TestSite.startBackend(0, {"--fail-percent", "100"});
  ASSERT_TRUE(Site::waitFor([&] { return TestSite.hasWorkers(0, 4); }));
  for (int I = 0; I < 60; ++I)
    TestSite.submit(0, makeJob(1, milliseconds(5)));
  // Without ejection, one job in four would fail: 15 of 60.
  EXPECT_LE(countAnswers(TestSite, ResultCode::TaskFailed), 6u);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, deadlineEndsJobOnUnresponsiveWorker) {
  Site TestSite(21000, 1, 1);
  TestSite.backend(0).signal(SIGTERM);
  TestSite.backend(0).wait(seconds(10));
  TestSite.startBackend(0, {"--silent"});
  ASSERT_TRUE(Site::waitFor([&] { return TestSite.hasWorkers(0, 1); }));
  JobOptions Options = makeJob(2, milliseconds(5));
  Options.m_Deadline = seconds(2);
  EXPECT_EQ(TestSite.submit(0, Options).m_Code,
            ResultCode::DeadlineWhileRunning);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, cancellationStopsRunningTasks) {
  Site TestSite(21100, 1, 2);
  std::vector<std::future<CallerAnswer>> Answers;
  Answers.reserve(20);
  for (int I = 0; I < 20; ++I)
    Answers.push_back(submitAsync(TestSite, 0, makeJob(4, seconds(10))));
  ASSERT_TRUE(waitForStarts(TestSite, 8));
  ASSERT_TRUE(Site::waitFor([&] {
    auto Body =
        nlohmann::json::parse(TestSite.call(0, "GET", "/v1/status").m_Body);
    return Body["jobs_running"] == 20;
  }));
  // The job ids of an entry are numbered from 1.
  auto Body =
      nlohmann::json::parse(TestSite.call(0, "GET", "/v1/status").m_Body);
  std::string Prefix = "j" + Body["incarnation"].get<std::string>() + "-";
  for (int I = 1; I <= 20; ++I)
    TestSite.call(0, "DELETE", "/v1/jobs/" + Prefix + std::to_string(I));
  for (auto &Future : Answers) {
    ResultCode Code = Future.get().m_Code;
    EXPECT_TRUE(Code == ResultCode::CancelledBeforeStart ||
                Code == ResultCode::CancelledWhileRunning);
  }
  // The slots are free again long before the tasks' run time of 10 s is over.
  EXPECT_EQ(TestSite.submit(0, makeJob(8, milliseconds(20))).m_Code,
            ResultCode::Ok);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}

TEST(Failure, recoversTwiceFromSimultaneousFaults) {
  Site TestSite(21200, 2, 3);
  for (int I = 0; I < 2; ++I)
    TestSite.startLoad(I, makeJob(4, milliseconds(50)));
  for (int Round = 0; Round < 2; ++Round) {
    TestSite.setPlatformFault("down");
    TestSite.agent(Round).signal(SIGKILL);
    TestSite.entry(1).signal(SIGKILL);
    TestSite.entry(1).wait(seconds(5));
    TestSite.startAgent(Round);
    TestSite.startEntry(1);
    EXPECT_TRUE(Site::waitFor([&] { return TestSite.hasWorkers(1, 3); }));
    TestSite.setPlatformFault("none");
    EXPECT_TRUE(Site::waitFor([&] { return TestSite.hasWorkers(0, 3); }));
  }
  TestSite.stopLoad();
  EXPECT_EQ(TestSite.submit(0, makeJob(8, milliseconds(20))).m_Code,
            ResultCode::Ok);
  EXPECT_EQ(TestSite.submit(1, makeJob(8, milliseconds(20))).m_Code,
            ResultCode::Ok);
  EXPECT_THAT(TestSite.violations(), IsEmpty());
}
