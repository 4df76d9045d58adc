#include "http/blockinghttp.h"
#include "runner/runnerstandin.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace cyclamenwalk;

namespace {

using Json = nlohmann::json;

constexpr const char *Task = "00000000000000a1.0.0.0";
constexpr Duration LongRun = seconds(30);

/// Calls a runner as its agent would; no agent receives the heartbeats.
class RunnerStandinTest : public testing::Test {
protected:
  RunnerStandinTest() : m_Runner(options(), m_Observer) {}

  static RunnerOptions options() {
    RunnerOptions Options;
    Options.m_Id = "i-1";
    Options.m_Listen = "127.0.0.1:18493";
    Options.m_Agent = "127.0.0.1:18494";
    return Options;
  }

  static HttpResponse call(const std::string &Path, const Json &Body) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Url = "http://127.0.0.1:18493" + Path;
    Request.m_Body = Body.dump();
    return sendHttpRequest(Request, seconds(3));
  }

  static Json hold(std::uint64_t LastSeen, std::uint64_t Token = 1,
                   Duration Lease = {}) {
    Json Body{{"last-seen", LastSeen}, {"fencing-token", Token}};
    if (Lease > Duration::zero())
      Body["deadline-ms"] = clock() + toMilliseconds(Lease);
    return Json::parse(call("/hold", Body).m_Body);
  }

  static std::int64_t clock() {
    return Json::parse(
               call("/hold", {{"last-seen", 0}, {"fencing-token", 1000}})
                   .m_Body)
        .value("clock-ms", std::int64_t(0));
  }

  static HttpResponse start(std::uint32_t Run, std::uint64_t Token = 1000,
                            Duration Lease = seconds(1),
                            Duration RunTime = LongRun) {
    return call("/run-start",
                {{"task", Task},
                 {"run", Run},
                 {"spec", std::to_string(toMilliseconds(RunTime))},
                 {"deadline-ms", clock() + toMilliseconds(Lease)},
                 {"fencing-token", Token}});
  }

  static HttpResponse stop(std::uint32_t Run, std::uint64_t Token = 1000) {
    return call("/run-stop",
                {{"task", Task}, {"run", Run}, {"fencing-token", Token}});
  }

  static std::string reason(const HttpResponse &Response) {
    return Json::parse(Response.m_Body).value("reason", "");
  }

  RunOverlapCounter m_Observer;
  RunnerStandin m_Runner;
};

} // namespace

TEST_F(RunnerStandinTest, answersARepeatedStartWithSuccess) {
  EXPECT_EQ(start(1).m_Status, 200);
  EXPECT_EQ(start(1).m_Status, 200);
  EXPECT_EQ(m_Observer.starts(), 1);
}

TEST_F(RunnerStandinTest, refusesARunThatWasStoppedBeforeItCame) {
  EXPECT_EQ(stop(2).m_Status, 200);
  EXPECT_EQ(reason(start(2)), "old");
  EXPECT_EQ(reason(start(1)), "old");
  EXPECT_EQ(start(3).m_Status, 200);
}

TEST_F(RunnerStandinTest, doesNothingForALowerToken) {
  EXPECT_EQ(start(1, 1001).m_Status, 200);
  EXPECT_EQ(reason(stop(1, 1000)), "fence");
  EXPECT_EQ(reason(start(2, 1000)), "fence");
  EXPECT_EQ(hold(0, 1001)["running"].size(), 1u);
}

TEST_F(RunnerStandinTest, takesTheLeaseOfAStartThatItRefusesAsOld) {
  EXPECT_EQ(start(2, 1000, milliseconds(400)).m_Status, 200);
  EXPECT_EQ(stop(1).m_Status, 200);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(reason(start(1, 1000, milliseconds(900))), "old");
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(hold(0, 1000)["running"].size(), 1u);
}

TEST_F(RunnerStandinTest, refusesAStartWhoseDeadlineHasPassed) {
  std::this_thread::sleep_for(milliseconds(20));
  EXPECT_EQ(reason(start(1, 1000, milliseconds(-10))), "late");
}

TEST_F(RunnerStandinTest, shortensTheLeaseToItsMaximum) {
  EXPECT_EQ(start(1, 1000, seconds(20)).m_Status, 200);
  std::this_thread::sleep_for(milliseconds(1100));
  Json Lists = hold(0, 1000);
  EXPECT_EQ(Lists["running"].size(), 0u);
  EXPECT_EQ(Lists["finished"][0][3], "lapsed");
}

TEST_F(RunnerStandinTest, listsEndsUntilTheyAreAcknowledged) {
  EXPECT_EQ(start(1).m_Status, 200);
  EXPECT_EQ(stop(1).m_Status, 200);
  std::this_thread::sleep_for(milliseconds(60));
  EXPECT_EQ(hold(0, 1000)["finished"].size(), 1u);
  EXPECT_EQ(hold(0, 1000)["finished"].size(), 1u);
  EXPECT_EQ(hold(1, 1000)["finished"].size(), 0u);
}

TEST_F(RunnerStandinTest, losesItsRunsInACrash) {
  EXPECT_EQ(start(1).m_Status, 200);
  m_Runner.crash();
  EXPECT_EQ(start(2).m_Status, 503);
  EXPECT_EQ(m_Observer.starts(), 1);
}
