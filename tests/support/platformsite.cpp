#include "support/platformsite.h"

#include "http/blockinghttp.h"
#include "platform/base64.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr int ReadinessPortOffset = 2;
constexpr int AgentMessagePortOffset = 30;
constexpr int RunnerPortOffset = 50;
constexpr int MetricsPortOffset = 70;
constexpr int StorePortOffset = 90;
constexpr int HttpOk = 200;
constexpr Duration ReadyTimeout = seconds(20);
constexpr Duration PollPeriod = milliseconds(50);
constexpr Duration StoreTimeout = seconds(1);
constexpr Duration SubmitTimeout = seconds(5);

std::string address(int Port) { return "127.0.0.1:" + std::to_string(Port); }

void waitUntil(const std::string &Name,
               const std::function<bool()> &Condition) {
  TimePoint End = Clock::now() + ReadyTimeout;
  while (!Condition()) {
    if (Clock::now() >= End)
      throw std::runtime_error(Name + " not within " +
                               std::to_string(toMilliseconds(ReadyTimeout)) +
                               " ms");
    std::this_thread::sleep_for(PollPeriod);
  }
}

} // namespace

PlatformSite::PlatformSite(PlatformSiteOptions Options)
    : m_Options(std::move(Options)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "overload-XXXXXX").string();
  m_Folder = mkdtemp(Pattern.data());
  std::string Store = address(m_Options.m_BasePort + StorePortOffset);
  m_Store = std::make_unique<ChildProcess>(
      std::vector<std::string>{std::string(CW_BINARY_DIR) + "/standin-platform",
                               Store},
      m_Folder + "/store.log");
  waitUntil("configuration written", [this] { return writeConfiguration(); });
  m_Entry = startProgram("entry");
  m_Agent = startProgram("agent");
  RunnerOptions Runner;
  Runner.m_Id = "i-0";
  Runner.m_Listen = address(m_Options.m_BasePort + RunnerPortOffset);
  Runner.m_Agent = address(agentPort());
  m_Runner = std::make_unique<RunnerStandin>(Runner, m_Observer);
  waitUntil("entry ready", [this] { return isReady(); });
}

PlatformSite::~PlatformSite() { std::filesystem::remove_all(m_Folder); }

std::unique_ptr<ChildProcess>
PlatformSite::startProgram(const std::string &Role) {
  bool IsEntry = Role == "entry";
  int Base = m_Options.m_BasePort;
  std::string File = m_Folder + "/" + Role + ".ini";
  std::ofstream Stream(File);
  Stream << "[process]\nname = " << Role
         << "\nfailure_domain = z\ncharts = " << CW_CHART_DIR
         << "\n[listen]\nmessages = "
         << address(IsEntry ? entryMessagePort()
                            : Base + AgentMessagePortOffset)
         << "\ncalls = " << address(IsEntry ? entryPort() : agentPort())
         << "\nmetrics = "
         << address(Base + MetricsPortOffset + (IsEntry ? 0 : 1)) << "\n";
  if (IsEntry)
    Stream << "readiness = " << address(Base + ReadinessPortOffset) << "\n";
  Stream << "[entries]\nseeds = " << address(entryMessagePort())
         << "\n[store]\naddress = " << address(Base + StorePortOffset) << "\n"
         << m_Options.m_Settings;
  Stream.close();
  setenv("CYCLAMENWALK_SETTINGS", File.c_str(), 1);
  return std::make_unique<ChildProcess>(
      std::vector<std::string>{
          std::string(CW_BINARY_DIR) + "/cyclamenwalk-site", Role},
      m_Folder + "/" + Role + ".log");
}

bool PlatformSite::writeConfiguration() const {
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
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url =
      "http://" + address(m_Options.m_BasePort + StorePortOffset) + "/rows-tx";
  Request.m_Body = Json{
      {"expected-revision", Json::array()},
      {"set-keys",
       {{{"table", "op"},
         {"part", ""},
         {"key", "config"},
         {"value", toBase64(Configuration.dump())}}}},
      {"remove",
       Json::array()}}.dump();
  return sendHttpRequest(Request, StoreTimeout).m_Status == HttpOk;
}

bool PlatformSite::isReady() const {
  HttpRequest Request;
  Request.m_Url = "http://" +
                  address(m_Options.m_BasePort + ReadinessPortOffset) +
                  "/readyz";
  return sendHttpRequest(Request, StoreTimeout).m_Status == HttpOk;
}

HttpResponse PlatformSite::submit(const std::string &Name) const {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + address(entryPort()) + "/q/" + Name;
  Request.m_Headers["X-Cyclamenwalk-Deadline-Ms"] = "4000";
  Request.m_Body = Json{{"spec", "20"},
                        {"best-effort", true},
                        {"steps",
                         {{{"count", 1},
                           {"cpu", 1000},
                           {"mem-mb", 16},
                           {"estimated-ms", 20}}}}}
                       .dump();
  return sendHttpRequest(Request, SubmitTimeout);
}

} // namespace cyclamenwalk
