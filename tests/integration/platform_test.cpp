#include "http/blockinghttp.h"
#include "platform/base64.h"
#include "runner/runnerstandin.h"
#include "support/childprocess.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace cyclamenwalk;
using Json = nlohmann::json;

namespace {

constexpr int BasePort = 22400;
constexpr int StorePort = BasePort + 90;
constexpr int AgentPort = BasePort + 10;
constexpr int RunnerPort = BasePort + 50;
constexpr int MetricsPort = BasePort + 70;
constexpr Duration ReadyTimeout = seconds(20);
constexpr Duration PollPeriod = milliseconds(50);

std::string address(int Port) { return "127.0.0.1:" + std::to_string(Port); }

/// Runs a store, one entry and two agents as separate processes, with runners
/// in the test process.
class PlatformTest : public testing::Test {
protected:
  PlatformTest() {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "platform-XXXXXX").string();
    m_Folder = mkdtemp(Pattern.data());
    m_Store = start(
        {std::string(CW_BINARY_DIR) + "/standin-platform", address(StorePort)},
        "store", "");
    waitUntil([this] { return writeConfiguration(); });
    m_Entry = startProgram("entry", 0);
    for (int I = 0; I < AgentCount; ++I) {
      m_Agents.push_back(startProgram("agent", I));
      RunnerOptions Options;
      Options.m_Id = "i-" + std::to_string(I);
      Options.m_Listen = address(RunnerPort + I);
      Options.m_Agent = address(AgentPort + I);
      m_Runners.push_back(std::make_unique<RunnerStandin>(Options, m_Observer));
    }
    waitUntil([this] { return isReady(); });
  }

  ~PlatformTest() override { std::filesystem::remove_all(m_Folder); }

  static constexpr int AgentCount = 2;

  std::unique_ptr<ChildProcess> start(const std::vector<std::string> &Command,
                                      const std::string &Name,
                                      const std::string &Settings) {
    if (!Settings.empty())
      setenv("CYCLAMENWALK_SETTINGS", Settings.c_str(), 1);
    return std::make_unique<ChildProcess>(Command,
                                          m_Folder + "/" + Name + ".log");
  }

  std::unique_ptr<ChildProcess> startProgram(const std::string &Role,
                                             int Index) {
    bool IsEntry = Role == "entry";
    std::string Name = Role + "-" + std::to_string(Index);
    std::string File = m_Folder + "/" + Name + ".ini";
    int Calls = IsEntry ? BasePort : AgentPort + Index;
    int Messages = IsEntry ? BasePort + 1 : AgentPort + 20 + Index;
    std::ofstream Stream(File);
    Stream << "[process]\nname = " << Name << "\nfailure_domain = z" << Index
           << "\ncharts = " << CW_CHART_DIR
           << "\n[listen]\nmessages = " << address(Messages)
           << "\ncalls = " << address(Calls)
           << "\nmetrics = " << address(MetricsPort + (IsEntry ? 0 : 1 + Index))
           << "\n";
    if (IsEntry)
      Stream << "readiness = " << address(BasePort + 2) << "\n";
    Stream << "[entries]\nseeds = " << address(BasePort + 1)
           << "\n[store]\naddress = " << address(StorePort) << "\n";
    if (IsEntry)
      Stream << "[bounds]\nevacuation = 5000ms\n";
    Stream.close();
    return start({std::string(CW_BINARY_DIR) + "/cyclamenwalk-site", Role},
                 Name, File);
  }

  bool writeConfiguration() {
    Json Route{{"name", "r"},
               {"host", "127.0.0.1"},
               {"path-prefix", "/q/"},
               {"service", "gatepost"},
               {"max-attempts", 2},
               {"slack-factor", 1.6},
               {"target-latency-ms", 60}};
    Json Configuration{{"version", 3},
                       {"routes", {Route}},
                       {"services", {{{"name", "gatepost"}}}}};
    return transact({operatorRow("config", Configuration.dump())}, {});
  }

  static bool requestEvacuation(const std::string &Domain) {
    return transact({operatorRow("evacuate/" + Domain, "{}")}, {});
  }

  static bool withdrawEvacuation(const std::string &Domain) {
    return transact({}, {operatorRow("evacuate/" + Domain, "")});
  }

  static Json operatorRow(const std::string &Key, const std::string &Value) {
    return {{"table", "op"},
            {"part", ""},
            {"key", Key},
            {"value", toBase64(Value)}};
  }

  static bool transact(const std::vector<Json> &Writes,
                       const std::vector<Json> &Removals) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Url = "http://" + address(StorePort) + "/rows-tx";
    Request.m_Body = Json{
        {"expected-revision", Json::array()},
        {"set-keys", Writes},
        {"remove",
         Removals}}.dump();
    return sendHttpRequest(Request, seconds(1)).m_Status == 200;
  }

  static bool isReady() {
    HttpRequest Request;
    Request.m_Url = "http://" + address(BasePort + 2) + "/readyz";
    return sendHttpRequest(Request, seconds(1)).m_Status == 200;
  }

  /// The number of runs that an agent has started, by its metrics.
  static double startsOfAgent(int Index) {
    HttpRequest Request;
    Request.m_Url = "http://" + address(MetricsPort + 1 + Index) + "/metrics";
    std::string Text = sendHttpRequest(Request, seconds(1)).m_Body;
    auto Line = Text.find("\ncyclamenwalk_starts_executed_total{");
    auto Value = Text.find("} ", Line);
    return Value == std::string::npos ? 0 : std::stod(Text.substr(Value + 2));
  }

  std::string readLog(const std::string &Process) const {
    std::ifstream Stream(m_Folder + "/" + Process + ".log");
    return {std::istreambuf_iterator<char>(Stream), {}};
  }

  template <typename Predicate> static void waitUntil(Predicate Condition) {
    TimePoint End = Clock::now() + ReadyTimeout;
    while (!Condition()) {
      ASSERT_LT(Clock::now(), End) << "condition not met within "
                                   << toMilliseconds(ReadyTimeout) << " ms";
      std::this_thread::sleep_for(PollPeriod);
    }
  }

  /// Submits a job of \p Tasks tasks with a run time of \p RunTime each.
  static HttpResponse submit(const std::string &Name, int Tasks,
                             Duration RunTime) {
    auto Milliseconds = toMilliseconds(RunTime);
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Url = "http://" + address(BasePort) + "/q/" + Name;
    Request.m_Headers["X-Cyclamenwalk-Deadline-Ms"] = "9000";
    Request.m_Body = Json{{"spec", std::to_string(Milliseconds)},
                          {"best-effort", true},
                          {"steps",
                           {{{"count", Tasks},
                             {"cpu", 1000},
                             {"mem-mb", 16},
                             {"estimated-ms", Milliseconds}}}}}
                         .dump();
    return sendHttpRequest(Request, seconds(10));
  }

  std::string m_Folder;
  RunOverlapCounter m_Observer;
  std::unique_ptr<ChildProcess> m_Store;
  std::unique_ptr<ChildProcess> m_Entry;
  std::vector<std::unique_ptr<ChildProcess>> m_Agents;
  std::vector<std::unique_ptr<RunnerStandin>> m_Runners;
};

} // namespace

TEST_F(PlatformTest, completesAJobAndRejectsUnknownRoutes) {
  HttpResponse Answer = submit("00000000000000a1", 8, milliseconds(80));
  EXPECT_EQ(Answer.m_Status, 200);
  EXPECT_EQ(Answer.m_Body, R"({"state":"completed"})");
  EXPECT_EQ(m_Observer.starts(), 8);
  HttpRequest UnknownRoute;
  UnknownRoute.m_Url = "http://" + address(BasePort) + "/other/";
  EXPECT_EQ(sendHttpRequest(UnknownRoute, seconds(2)).m_Status, 404);
}

TEST_F(PlatformTest, killedAgentFailsItsJobsWithoutOverlappingRuns) {
  auto FirstResponse = std::async(std::launch::async, [] {
    return submit("00000000000000b1", 20, seconds(6));
  });
  waitUntil([this] { return m_Observer.starts() == 20; });
  m_Agents[0]->signal(SIGKILL);
  EXPECT_EQ(FirstResponse.get().m_Status, 502);
  // The job is sent again after all leases have expired.
  std::this_thread::sleep_for(milliseconds(1300));
  m_Agents[0] = startProgram("agent", 0);
  EXPECT_EQ(submit("00000000000000b1", 6, milliseconds(50)).m_Status, 200);
  EXPECT_EQ(m_Observer.overlaps(), 0);
}

TEST_F(PlatformTest, pausedEntryLosesItsRunsAndRecovers) {
  auto FirstResponse = std::async(std::launch::async, [] {
    return submit("00000000000000c1", 4, seconds(6));
  });
  waitUntil([this] { return m_Observer.starts() == 4; });
  m_Entry->signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(1500));
  m_Entry->signal(SIGCONT);
  EXPECT_NE(FirstResponse.get().m_Status, 200);
  waitUntil([] {
    return submit("00000000000000c2", 2, milliseconds(50)).m_Status == 200;
  });
  EXPECT_EQ(m_Observer.overlaps(), 0);
}

TEST_F(PlatformTest, stoppedEntryAnswersAcceptedJobs) {
  auto FirstResponse = std::async(std::launch::async, [] {
    return submit("00000000000000d1", 4, seconds(1));
  });
  waitUntil([this] { return m_Observer.starts() == 4; });
  m_Entry->signal(SIGTERM);
  EXPECT_EQ(FirstResponse.get().m_Status, 200);
  EXPECT_EQ(m_Entry->wait(seconds(6)), 0);
}

/// The domain of one agent is evacuated and taken back, while the other agent
/// serves. The agent restarts meanwhile and learns of it again.
TEST_F(PlatformTest, evacuatedDomainStartsNothingUntilItIsWithdrawn) {
  auto KnowsChange = [this] {
    return readLog("agent-0").find("evacuation.changed") != std::string::npos;
  };
  ASSERT_TRUE(requestEvacuation("z0"));
  waitUntil(KnowsChange);
  double Before = startsOfAgent(0);
  EXPECT_EQ(submit("00000000000000e1", 8, milliseconds(50)).m_Status, 200);
  EXPECT_EQ(startsOfAgent(0), Before);
  m_Agents[0]->signal(SIGKILL);
  m_Agents[0] = startProgram("agent", 0);
  waitUntil(KnowsChange);
  EXPECT_EQ(submit("00000000000000e2", 8, milliseconds(50)).m_Status, 200);
  EXPECT_EQ(startsOfAgent(0), 0);
  ASSERT_TRUE(withdrawEvacuation("z0"));
  waitUntil([] {
    submit("00000000000000e3", 40, milliseconds(20));
    return startsOfAgent(0) > 0;
  });
}
