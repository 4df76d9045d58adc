#include "support/site.h"

#include <csignal>
#include <future>
#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

using namespace cyclamenwalk;
using testing::IsEmpty;

namespace {

JobOrderForm slowJob(std::size_t Tasks, Duration RunTime) {
  JobOrderForm Form;
  Form.m_Tasks = Tasks;
  Form.m_RunTime = RunTime;
  Form.m_Deadline = seconds(20);
  return Form;
}

JobOrderForm purchase(const std::string &Reference) {
  JobOrderForm Form;
  Form.m_Reference = Reference;
  Form.m_IdempotencyKey = Reference;
  return Form;
}

/// Submits on a thread of its own, so that the test can break something.
std::future<CallerAnswer> submitLater(Site &At, int Entry,
                                      const JobOrderForm &Form) {
  return std::async(std::launch::async,
                    [&At, Entry, Form] { return At.submit(Entry, Form); });
}

bool waitForStarts(const Site &At, int Count) {
  return Site::waitFor([&] { return At.log().starts() >= Count; });
}

std::size_t countOf(const Site &At, ResultCode Code) {
  auto Answers = At.answers();
  return static_cast<std::size_t>(std::count_if(
      Answers.begin(), Answers.end(),
      [Code](const CallerAnswer &A) { return A.m_Code == Code; }));
}

} // namespace

TEST(Failure, backendKilledInMidTask) {
  Site At(20000, 2, 2);
  auto Answer = submitLater(At, 0, slowJob(8, seconds(2)));
  ASSERT_TRUE(waitForStarts(At, 8));
  At.backend(0).signal(SIGKILL);
  EXPECT_EQ(Answer.get().m_Code, ResultCode::BackendLost);
  At.startBackend(0);
  ASSERT_TRUE(Site::waitFor([&] { return At.hasWorkers(1, 2); }));
  EXPECT_EQ(At.submit(1, slowJob(8, milliseconds(20))).m_Code, ResultCode::Ok);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, agentKilledInMidTaskAndReplaced) {
  Site At(20100, 2, 2);
  auto Answer = submitLater(At, 0, slowJob(8, seconds(3)));
  ASSERT_TRUE(waitForStarts(At, 8));
  At.agent(0).signal(SIGKILL);
  At.startAgent(0);
  EXPECT_EQ(Answer.get().m_Code, ResultCode::AgentLost);
  ASSERT_TRUE(Site::waitFor([&] { return At.hasWorkers(0, 2); }));
  EXPECT_EQ(At.submit(0, slowJob(8, milliseconds(20))).m_Code, ResultCode::Ok);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, entryKilledAndItsRequestRepeatedElsewhere) {
  Site At(20200, 2, 2);
  JobOrderForm Form = purchase("pump-order");
  Form.m_RunTime = seconds(2);
  auto First = submitLater(At, 0, Form);
  ASSERT_TRUE(waitForStarts(At, 1));
  At.entry(0).signal(SIGKILL);
  EXPECT_EQ(First.get().m_Job, "");
  CallerAnswer Second = At.submit(1, Form);
  EXPECT_EQ(outcomeOf(Second.m_Code), Outcome::OutcomeUnknown);
  At.startEntry(0);
  ASSERT_TRUE(Site::waitFor([&] { return At.hasWorkers(0, 2); }));
  EXPECT_EQ(outcomeOf(At.submit(0, Form).m_Code), Outcome::OutcomeUnknown);
  EXPECT_EQ(At.log().referenceStarts("pump-order"), 1);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, agentPausedPastItsLeaseAndResumed) {
  Site At(20300, 2, 2);
  auto Answer = submitLater(At, 0, slowJob(8, seconds(1)));
  ASSERT_TRUE(waitForStarts(At, 8));
  At.agent(0).signal(SIGSTOP);
  EXPECT_EQ(Answer.get().m_Code, ResultCode::AgentLost);
  EXPECT_EQ(At.submit(0, slowJob(4, milliseconds(20))).m_Code, ResultCode::Ok);
  At.agent(0).signal(SIGCONT);
  ASSERT_TRUE(Site::waitFor([&] { return At.hasWorkers(0, 2); }));
  EXPECT_EQ(At.submit(0, slowJob(8, milliseconds(20))).m_Code, ResultCode::Ok);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, entryPausedUnderLoadWhileItsKeysAreRepeatedElsewhere) {
  Site At(20400, 2, 2);
  std::vector<std::future<CallerAnswer>> Waiting;
  Waiting.reserve(20);
  for (int I = 0; I < 20; ++I)
    Waiting.push_back(submitLater(At, 0, purchase("k" + std::to_string(I))));
  At.entry(0).signal(SIGSTOP);
  std::vector<std::future<CallerAnswer>> Repeated;
  Repeated.reserve(20);
  for (int I = 0; I < 20; ++I)
    Repeated.push_back(submitLater(At, 1, purchase("k" + std::to_string(I))));
  std::this_thread::sleep_for(seconds(8));
  At.entry(0).signal(SIGCONT);
  for (auto *All : {&Waiting, &Repeated})
    for (auto &One : *All)
      One.get();
  for (int I = 0; I < 20; ++I)
    EXPECT_LE(At.log().referenceStarts("k" + std::to_string(I)), 1);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, storeDownPurchasesGoOnAndNothingIsForgotten) {
  Site At(20500, 2, 2);
  At.setPlatformFault("down");
  JobOrderForm ByTicket;
  ByTicket.m_Reference = "by-ticket";
  ByTicket.m_Ticket = At.ticket(0);
  EXPECT_EQ(At.submit(0, ByTicket).m_Code, ResultCode::Ok);
  EXPECT_EQ(At.submit(0, ByTicket).m_Code, ResultCode::Ok);
  // The ticket leads to its owner from the other entry too.
  EXPECT_EQ(At.submit(1, ByTicket).m_Code, ResultCode::Ok);
  EXPECT_EQ(At.log().referenceStarts("by-ticket"), 1);
  EXPECT_EQ(At.submit(0, purchase("by-key")).m_Code,
            ResultCode::ClaimUnavailable);
  std::string Changed = std::string(Site::Configuration) + "[team extra]\n";
  EXPECT_EQ(At.apply(0, Changed, "during-outage", 1).m_Status, 503);
  EXPECT_EQ(At.version(0), 1u);

  // A process that starts now learns everything from its peers.
  At.entry(1).signal(SIGKILL);
  At.entry(1).wait(seconds(5));
  At.startEntry(1);
  ASSERT_TRUE(Site::waitFor([&] { return At.version(1) == 1; }));
  ASSERT_TRUE(Site::waitFor([&] { return At.hasWorkers(1, 2); }));
  EXPECT_EQ(At.submit(1, slowJob(4, milliseconds(20))).m_Code, ResultCode::Ok);

  At.setPlatformFault("none");
  ASSERT_TRUE(Site::waitFor(
      [&] { return At.apply(1, Changed, "after-outage", 1).m_Status == 200; }));
  EXPECT_TRUE(Site::waitFor([&] { return At.version(0) == 2; }));
  EXPECT_EQ(At.submit(0, purchase("by-key")).m_Code, ResultCode::Ok);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, repliesOfTheStoreLostAfterTheWrite) {
  Site At(20600, 2, 2);
  At.setPlatformFault("reply_lost");
  auto Apply = std::async(std::launch::async, [&At] {
    return At.apply(0, std::string(Site::Configuration) + "[team x]\n", "lost",
                    1);
  });
  EXPECT_EQ(At.submit(0, purchase("claim")).m_Code, ResultCode::Ok);
  HttpResponse First = Apply.get();
  At.setPlatformFault("none");
  HttpResponse Again =
      At.apply(1, std::string(Site::Configuration) + "[team x]\n", "lost", 1);
  EXPECT_EQ(Again.m_Status, 200);
  EXPECT_TRUE(Site::waitFor([&] { return At.version(1) == 2; }));
  EXPECT_EQ(At.log().referenceStarts("claim"), 1);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, operatorsRacingGetOneWinner) {
  Site At(20700, 2, 1);
  for (std::uint64_t Base = 1; Base <= 5; ++Base) {
    std::vector<std::future<HttpResponse>> Applies;
    Applies.reserve(6);
    for (int I = 0; I < 6; ++I)
      Applies.push_back(std::async(std::launch::async, [&At, I, Base] {
        std::string Id = std::to_string(Base) + "-" + std::to_string(I);
        return At.apply(
            I % 2, std::string(Site::Configuration) + "[team r" + Id + "]\n",
            "race-" + Id, Base);
      }));
    int Accepted = 0;
    int Stale = 0;
    for (auto &One : Applies) {
      HttpResponse Response = One.get();
      Accepted += Response.m_Status == 200;
      Stale += Response.m_Body.find("\"winner\"") != std::string::npos;
    }
    EXPECT_EQ(Accepted, 1);
    EXPECT_EQ(Stale, 5);
    ASSERT_TRUE(Site::waitFor([&] {
      return At.version(0) == Base + 1 && At.version(1) == Base + 1;
    }));
  }
}

TEST(Failure, everyProcessStoppedUnderLoadCutsNothingOff) {
  Site At(20800, 2, 3);
  for (int Entry = 0; Entry < 2; ++Entry)
    for (int I = 0; I < 3; ++I)
      At.startLoad(Entry, slowJob(4, milliseconds(50)));
  ASSERT_TRUE(waitForStarts(At, 50));
  At.agent(0).signal(SIGTERM);
  EXPECT_EQ(At.agent(0).wait(seconds(30)), 0);
  At.backend(1).signal(SIGTERM);
  EXPECT_EQ(At.backend(1).wait(seconds(30)), 0);
  At.entry(0).signal(SIGTERM);
  EXPECT_EQ(At.entry(0).wait(seconds(40)), 0);
  At.stopLoad();
  // A caller of the stopped entry is refused as not run or finds no listener;
  // no other answer but success is there.
  std::size_t Refused = countOf(At, ResultCode::Draining) +
                        countOf(At, ResultCode::EntryUnreachable);
  EXPECT_EQ(countOf(At, ResultCode::Ok) + Refused, At.answers().size());
  EXPECT_GE(countOf(At, ResultCode::Ok), 20u);
  EXPECT_THAT(At.violations(), IsEmpty());
  // Requests without an answer must not have run: those that found no
  // listener left no start behind.
  std::size_t TasksAnswered = countOf(At, ResultCode::Ok) * 4;
  EXPECT_EQ(static_cast<std::size_t>(At.log().starts()), TasksAnswered);
}

TEST(Failure, workerThatFailsEverythingIsTakenOut) {
  Site At(20900, 1, 4);
  At.backend(0).signal(SIGTERM);
  At.backend(0).wait(seconds(10));
  At.startBackend(0, {"--fail-percent", "100"});
  ASSERT_TRUE(Site::waitFor([&] { return At.hasWorkers(0, 4); }));
  for (int I = 0; I < 60; ++I)
    At.submit(0, slowJob(1, milliseconds(5)));
  // One in four would fail without the judgement: 15.
  EXPECT_LE(countOf(At, ResultCode::TaskFailed), 6u);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, silentWorkerIsBoundedByTheDeadline) {
  Site At(21000, 1, 1);
  At.backend(0).signal(SIGTERM);
  At.backend(0).wait(seconds(10));
  At.startBackend(0, {"--silent"});
  ASSERT_TRUE(Site::waitFor([&] { return At.hasWorkers(0, 1); }));
  JobOrderForm Form = slowJob(2, milliseconds(5));
  Form.m_Deadline = seconds(2);
  EXPECT_EQ(At.submit(0, Form).m_Code, ResultCode::DeadlineWhileRunning);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, cancellationWaveStopsWhatRuns) {
  Site At(21100, 1, 2);
  std::vector<std::future<CallerAnswer>> Waiting;
  Waiting.reserve(20);
  for (int I = 0; I < 20; ++I)
    Waiting.push_back(submitLater(At, 0, slowJob(4, seconds(10))));
  ASSERT_TRUE(waitForStarts(At, 8));
  ASSERT_TRUE(Site::waitFor([&] {
    auto Body = nlohmann::json::parse(At.call(0, "GET", "/v1/status").m_Body);
    return Body["jobs_running"] == 20;
  }));
  // Ids of the jobs of one entry count up from 1.
  auto Body = nlohmann::json::parse(At.call(0, "GET", "/v1/status").m_Body);
  std::string Prefix = "j" + Body["incarnation"].get<std::string>() + "-";
  for (int I = 1; I <= 20; ++I)
    At.call(0, "DELETE", "/v1/jobs/" + Prefix + std::to_string(I));
  for (auto &One : Waiting) {
    ResultCode Code = One.get().m_Code;
    EXPECT_TRUE(Code == ResultCode::CancelledBeforeStart ||
                Code == ResultCode::CancelledWhileRunning);
  }
  // The slots are free again long before the tasks would have ended.
  EXPECT_EQ(At.submit(0, slowJob(8, milliseconds(20))).m_Code, ResultCode::Ok);
  EXPECT_THAT(At.violations(), IsEmpty());
}

TEST(Failure, twoFaultsTogetherTwiceInARow) {
  Site At(21200, 2, 3);
  for (int I = 0; I < 2; ++I)
    At.startLoad(I, slowJob(4, milliseconds(50)));
  for (int Round = 0; Round < 2; ++Round) {
    At.setPlatformFault("down");
    At.agent(Round).signal(SIGKILL);
    At.entry(1).signal(SIGKILL);
    At.entry(1).wait(seconds(5));
    At.startAgent(Round);
    At.startEntry(1);
    EXPECT_TRUE(Site::waitFor([&] { return At.hasWorkers(1, 3); }));
    At.setPlatformFault("none");
    EXPECT_TRUE(Site::waitFor([&] { return At.hasWorkers(0, 3); }));
  }
  At.stopLoad();
  EXPECT_EQ(At.submit(0, slowJob(8, milliseconds(20))).m_Code, ResultCode::Ok);
  EXPECT_EQ(At.submit(1, slowJob(8, milliseconds(20))).m_Code, ResultCode::Ok);
  EXPECT_THAT(At.violations(), IsEmpty());
}
