#ifndef CYCLAMENWALK_TESTS_INTEGRATION_PLATFORMFIXTURE_H
#define CYCLAMENWALK_TESTS_INTEGRATION_PLATFORMFIXTURE_H

#include "http/blockinghttp.h"
#include "platform/base64.h"
#include "runner/runnerstandin.h"
#include "support/childprocess.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace cyclamenwalk {

/// Runs a store, one entry and two agents as separate processes, with runners
/// in the test process.
class PlatformFixture : public testing::Test {
protected:
  static constexpr int StoreOffset = 90;
  static constexpr int AgentOffset = 10;
  static constexpr int RunnerOffset = 50;
  static constexpr int MetricsOffset = 70;
  static constexpr Duration ReadyTimeout = seconds(20);
  static constexpr Duration PollPeriod = milliseconds(50);

  /// Uses the ports from \p BasePort to \p BasePort + 99.
  explicit PlatformFixture(int BasePort) : m_BasePort(BasePort) {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "platform-XXXXXX").string();
    m_Folder = mkdtemp(Pattern.data());
    m_Store = start({std::string(CW_BINARY_DIR) + "/standin-platform",
                     address(StoreOffset)},
                    "store", "");
    waitUntil([this] { return writeConfiguration(); });
    m_Entry = startProgram("entry", 0);
    for (int I = 0; I < AgentCount; ++I) {
      m_Agents.push_back(startProgram("agent", I));
      RunnerOptions Options;
      Options.m_Id = "i-" + std::to_string(I);
      Options.m_Listen = address(RunnerOffset + I);
      Options.m_Agent = address(AgentOffset + I);
      m_Runners.push_back(std::make_unique<RunnerStandin>(Options, m_Observer));
    }
    waitUntil([this] { return isReady(); });
  }

  ~PlatformFixture() override { std::filesystem::remove_all(m_Folder); }

  static constexpr int AgentCount = 2;

  /// Returns the address with the port \p Offset after the first one. Callers
  /// reach the entry at offset zero.
  std::string address(int Offset) const {
    return "127.0.0.1:" + std::to_string(m_BasePort + Offset);
  }

  std::string readLog(const std::string &Name) const {
    std::ifstream Stream(m_Folder + "/" + Name + ".log");
    std::stringstream Text;
    Text << Stream.rdbuf();
    return Text.str();
  }

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
    int Calls = IsEntry ? 0 : AgentOffset + Index;
    int Messages = IsEntry ? 1 : AgentOffset + 20 + Index;
    std::ofstream Stream(File);
    Stream << "[process]\nname = " << Name << "\nfailure_domain = z" << Index
           << "\ncharts = " << CW_CHART_DIR
           << "\n[listen]\nmessages = " << address(Messages)
           << "\ncalls = " << address(Calls) << "\nmetrics = "
           << address(MetricsOffset + (IsEntry ? 0 : 1 + Index)) << "\n";
    if (IsEntry)
      Stream << "readiness = " << address(2) << "\n";
    Stream << "[entries]\nseeds = " << address(1)
           << "\n[store]\naddress = " << address(StoreOffset) << "\n";
    if (IsEntry)
      Stream << "[bounds]\nevacuation = 5000ms\n";
    Stream.close();
    return start({std::string(CW_BINARY_DIR) + "/cyclamenwalk-site", Role},
                 Name, File);
  }

  bool writeConfiguration() {
    nlohmann::json Route{{"name", "r"},
                         {"host", "127.0.0.1"},
                         {"path-prefix", "/q/"},
                         {"service", "gatepost"},
                         {"max-attempts", 2},
                         {"slack-factor", 1.6},
                         {"target-latency-ms", 60}};
    nlohmann::json Configuration{{"version", 3},
                                 {"routes", {Route}},
                                 {"services", {{{"name", "gatepost"}}}}};
    return transact({operatorRow("config", Configuration.dump())}, {});
  }

  bool requestEvacuation(const std::string &Domain) const {
    return transact({operatorRow("evacuate/" + Domain, "{}")}, {});
  }

  bool withdrawEvacuation(const std::string &Domain) const {
    return transact({}, {operatorRow("evacuate/" + Domain, "")});
  }

  static nlohmann::json operatorRow(const std::string &Key,
                                    const std::string &Value) {
    return {{"table", "op"},
            {"part", ""},
            {"key", Key},
            {"value", toBase64(Value)}};
  }

  bool transact(const std::vector<nlohmann::json> &Writes,
                const std::vector<nlohmann::json> &Removals) const {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Url = "http://" + address(StoreOffset) + "/rows-tx";
    Request.m_Body = nlohmann::json{
        {"expected-revision", nlohmann::json::array()},
        {"set-keys", Writes},
        {"remove",
         Removals}}.dump();
    return sendHttpRequest(Request, seconds(1)).m_Status == 200;
  }

  /// The number of runs that an agent has started, by its metrics.
  double startsOfAgent(int Index) const {
    HttpRequest Request;
    Request.m_Url = "http://" + address(MetricsOffset + 1 + Index) + "/metrics";
    std::string Text = sendHttpRequest(Request, seconds(1)).m_Body;
    auto Line = Text.find("\ncyclamenwalk_starts_executed_total{");
    auto Value = Text.find("} ", Line);
    return Value == std::string::npos ? 0 : std::stod(Text.substr(Value + 2));
  }

  bool isReady() const {
    HttpRequest Request;
    Request.m_Url = "http://" + address(2) + "/readyz";
    return sendHttpRequest(Request, seconds(1)).m_Status == 200;
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
  HttpResponse submit(const std::string &Name, int Tasks,
                      Duration RunTime) const {
    auto Milliseconds = toMilliseconds(RunTime);
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Url = "http://" + address(0) + "/q/" + Name;
    Request.m_Headers["X-Cyclamenwalk-Deadline-Ms"] = "9000";
    Request.m_Body = nlohmann::json{{"spec", std::to_string(Milliseconds)},
                                    {"best-effort", true},
                                    {"steps",
                                     {{{"count", Tasks},
                                       {"cpu", 1000},
                                       {"mem-mb", 16},
                                       {"estimated-ms", Milliseconds}}}}}
                         .dump();
    return sendHttpRequest(Request, seconds(10));
  }

  const int m_BasePort;
  std::string m_Folder;
  RunOverlapCounter m_Observer;
  std::unique_ptr<ChildProcess> m_Store;
  std::unique_ptr<ChildProcess> m_Entry;
  std::vector<std::unique_ptr<ChildProcess>> m_Agents;
  std::vector<std::unique_ptr<RunnerStandin>> m_Runners;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_INTEGRATION_PLATFORMFIXTURE_H
