#include "soak/fleet.h"

#include "http/blockinghttp.h"
#include "platform/base64.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr Duration HttpTimeout = seconds(1);
constexpr Duration PollPeriod = milliseconds(50);
constexpr Duration KillTimeout = seconds(5);
/// A paused agent must not hold up the faults.
constexpr Duration ForeignHeartbeatTimeout = milliseconds(100);
constexpr double SlowClockRate = 0.98;
constexpr int HttpOk = 200;

std::string processName(const std::string &Kind, int Index) {
  return Kind + "-" + std::to_string(Index);
}

bool isEntry(const std::string &Process) {
  return Process.rfind("entry-", 0) == 0;
}

int processIndex(const std::string &Process) {
  return std::stoi(Process.substr(Process.find('-') + 1));
}

std::vector<std::string> processNames(const std::string &Kind, int Count) {
  std::vector<std::string> Names;
  Names.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Names.push_back(processName(Kind, I));
  return Names;
}

/// Route q is in every version, route vN only in version N.
Json makeConfiguration(std::uint64_t Version) {
  auto Route = [](const std::string &Name) {
    return Json{{"name", Name},
                {"host", "127.0.0.1"},
                {"path-prefix", "/" + Name + "/"},
                {"service", "gatepost"},
                {"max-attempts", 3},
                {"slack-factor", 1.6},
                {"target-latency-ms", 60}};
  };
  return {{"version", Version},
          {"routes", {Route("q"), Route("v" + std::to_string(Version))}},
          {"services", {{{"name", "gatepost"}}}}};
}

} // namespace

Fleet::Fleet(FleetOptions Options, IRunObserver &Observer,
             OrderObserver ObserveOrder)
    : m_Options(Options), m_Observer(Observer),
      m_ObserveOrder(std::move(ObserveOrder)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  m_Folder = mkdtemp(Pattern.data());
  addProxy("store", Port::StoreProxy, Port::Store);
  start("store");
  while (!writeConfiguration(1))
    std::this_thread::sleep_for(PollPeriod);
  for (int I = 0; I < m_Options.m_EntryCount; ++I) {
    std::string Name = processName("entry", I);
    addProxy(Name, Port::EntryCallsProxy, Port::EntryCalls, I);
    addProxy(Name, Port::EntryMessagesProxy, Port::EntryMessages, I);
    start(Name);
  }
  for (int I = 0; I < m_Options.m_AgentCount; ++I) {
    std::string Name = processName("agent", I);
    addProxy(Name, Port::AgentMessagesProxy, Port::AgentMessages, I);
    m_RunnerProxies.push_back(&addProxy(Name, Port::RunnerProxy, Port::Runner,
                                        I, observeOrdersOf(I)));
    start(Name);
    m_Runners.emplace_back();
    startRunner(I);
  }
}

Fleet::~Fleet() {
  m_Processes.clear();
  m_Runners.clear();
}

std::vector<std::string> Fleet::entries() const {
  return processNames("entry", m_Options.m_EntryCount);
}

std::vector<std::string> Fleet::agents() const {
  return processNames("agent", m_Options.m_AgentCount);
}

std::string Fleet::address(Port Kind, int Index) const {
  return "127.0.0.1:" +
         std::to_string(m_Options.m_BasePort + static_cast<int>(Kind) + Index);
}

FaultProxy &Fleet::addProxy(const std::string &Process, Port Listen,
                            Port Target, int Index, CallObserver Observer) {
  m_Proxies[Process].push_back(std::make_unique<FaultProxy>(
      address(Listen, Index), address(Target, Index), std::move(Observer)));
  return *m_Proxies[Process].back();
}

CallObserver Fleet::observeOrdersOf(int Runner) {
  return [this, Runner](const std::string &Call, CallFate Fate) {
    if (!m_ObserveOrder || Call.rfind("POST /run-start ", 0) != 0)
      return;
    auto BodyStart = Call.find("\r\n\r\n");
    if (BodyStart == std::string::npos)
      return;
    Json Body = Json::parse(Call.substr(BodyStart), nullptr, false);
    if (Body.is_object())
      m_ObserveOrder({"i-" + std::to_string(Runner), Body.value("task", ""),
                      Body.value("run", 0u), ""},
                     Fate);
  };
}

std::vector<FaultProxy *> Fleet::proxiesOf(const std::string &Process) {
  std::vector<FaultProxy *> Proxies;
  for (const auto &Proxy : m_Proxies.at(Process))
    Proxies.push_back(Proxy.get());
  return Proxies;
}

std::string Fleet::formatSettings(const std::string &Process) const {
  int I = processIndex(Process);
  bool IsEntry = isEntry(Process);
  std::ostringstream Text;
  bool IsSmall =
      IsEntry && I >= m_Options.m_EntryCount - m_Options.m_SmallEntryCount;
  Text << "[process]\nname = " << Process
       << "\nprocessor_share = " << (IsSmall ? "0.1" : "1")
       << "\nfailure_domain = z\ncharts = " << CW_CHART_DIR
       << "\n[listen]\nmessages = "
       << address(IsEntry ? Port::EntryMessages : Port::AgentMessages, I)
       << "\nadvertised = "
       << address(IsEntry ? Port::EntryMessagesProxy : Port::AgentMessagesProxy,
                  I)
       << "\ncalls = "
       << address(IsEntry ? Port::EntryCalls : Port::AgentCalls, I)
       << "\nmetrics = "
       << address(IsEntry ? Port::EntryMetrics : Port::AgentMetrics, I) << "\n";
  if (IsEntry)
    Text << "readiness = " << address(Port::EntryReadiness, I) << "\n";
  Text << "[entries]\nseeds = ";
  for (int Seed = 0; Seed < std::min(3, m_Options.m_EntryCount); ++Seed)
    Text << (Seed ? "," : "") << address(Port::EntryMessagesProxy, Seed);
  Text << "\n[store]\naddress = " << address(Port::StoreProxy) << "\n";
  return Text.str();
}

void Fleet::start(const std::string &Process) {
  m_Processes.erase(Process);
  std::string Programs = CW_BINARY_DIR;
  std::vector<std::string> Command{Programs + "/standin-platform",
                                   address(Port::Store)};
  if (Process != "store") {
    std::string File = m_Folder + "/" + Process + ".ini";
    std::ofstream(File) << formatSettings(Process);
    setenv("CYCLAMENWALK_SETTINGS", File.c_str(), 1);
    Command = {Programs + "/cyclamenwalk-site",
               isEntry(Process) ? "entry" : "agent"};
  }
  m_Processes[Process] = std::make_unique<ChildProcess>(
      Command, m_Folder + "/" + Process + ".log");
}

void Fleet::signal(const std::string &Process, int Number) {
  m_Processes.at(Process)->signal(Number);
}

void Fleet::kill(const std::string &Process) {
  signal(Process, SIGKILL);
  wait(Process, KillTimeout);
}

int Fleet::wait(const std::string &Process, Duration Timeout) {
  return m_Processes.at(Process)->wait(Timeout);
}

void Fleet::startRunner(int Index) {
  RunnerOptions Options;
  Options.m_Id = "i-" + std::to_string(Index);
  Options.m_Listen = address(Port::Runner, Index);
  Options.m_Agent = address(Port::AgentCalls, Index);
  Options.m_AnnouncedAddress = address(Port::RunnerProxy, Index);
  Options.m_ClockRate = Index % 2 == 0 ? 1 : SlowClockRate;
  Options.m_HandleEnd = [Proxy = m_RunnerProxies.at(Index)] {
    Proxy->setPortClosed(true);
  };
  m_Runners.at(Index) = std::make_unique<RunnerStandin>(Options, m_Observer);
  m_RunnerProxies.at(Index)->setPortClosed(false);
}

void Fleet::crashRunner(int Index, bool IsPortClosed) {
  m_Runners.at(Index)->crash();
  m_RunnerProxies.at(Index)->setPortClosed(IsPortClosed);
  m_RunnerProxies.at(Index)->resetConnections();
  m_Runners.at(Index).reset();
}

void Fleet::restartRunner(int Index) {
  if (m_Runners.at(Index))
    crashRunner(Index, true);
  startRunner(Index);
}

void Fleet::sendForeignHeartbeat(int Agent, ForeignHeartbeat Variant) const {
  auto Now = std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  Json Body{{"service", "gatepost"},
            {"address", address(Port::RunnerProxy, Agent)},
            {"state", "ready"},
            {"capacity",
             {{"cpu", RunnerStandin::MilliCores},
              {"mem-mb", RunnerStandin::MemoryMb},
              {"gpu", 0}}},
            {"labels", {"a", "r1"}},
            {"clock-ms", 1},
            {"born", Now},
            {"sequence", 1}};
  switch (Variant) {
  case ForeignHeartbeat::UnknownService:
    Body["service"] = "unheard-of";
    break;
  case ForeignHeartbeat::UnknownState:
    Body["state"] = "resting";
    break;
  case ForeignHeartbeat::MissingFields:
    Body.erase("address");
    Body.erase("capacity");
    break;
  case ForeignHeartbeat::WrongTypes:
    Body["capacity"] = "large";
    Body["born"] = "late";
    break;
  default:
    break;
  }
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + address(Port::AgentCalls, Agent) +
                  "/Instances.Heartbeat/i-" + std::to_string(Agent);
  Request.m_Body =
      Variant == ForeignHeartbeat::Unreadable ? "\x01{\xff" : Body.dump();
  sendHttpRequest(Request, ForeignHeartbeatTimeout);
}

std::string Fleet::callAddress(int Entry) const {
  return address(Port::EntryCallsProxy, Entry);
}

std::string Fleet::directAddress(int Entry) const {
  return address(Port::EntryCalls, Entry);
}

int Fleet::callPort(const std::string &Process) const {
  Port Kind = isEntry(Process) ? Port::EntryCalls : Port::AgentCalls;
  return m_Options.m_BasePort + static_cast<int>(Kind) + processIndex(Process);
}

int Fleet::messagePort(const std::string &Process) const {
  Port Kind = isEntry(Process) ? Port::EntryMessages : Port::AgentMessages;
  return m_Options.m_BasePort + static_cast<int>(Kind) + processIndex(Process);
}

bool Fleet::isReady(int Entry) const {
  HttpRequest Request;
  Request.m_Url = "http://" + address(Port::EntryReadiness, Entry) + "/readyz";
  return sendHttpRequest(Request, HttpTimeout).m_Status == HttpOk;
}

bool Fleet::waitUntilReady(Duration Timeout) const {
  TimePoint End = Clock::now() + Timeout;
  for (int I = 0; I < m_Options.m_EntryCount; ++I)
    while (!isReady(I)) {
      if (Clock::now() > End)
        return false;
      std::this_thread::sleep_for(PollPeriod);
    }
  return true;
}

bool Fleet::writeConfiguration(std::uint64_t Version) const {
  HttpRequest Request;
  Request.m_Method = "POST";
  // Bypasses the proxy, so that faults of links don't block the operator.
  Request.m_Url = "http://" + address(Port::Store) + "/rows-tx";
  Json Row{{"table", "op"},
           {"part", ""},
           {"key", "config"},
           {"value", toBase64(makeConfiguration(Version).dump())}};
  Request.m_Body = Json{
      {"expected-revision", Json::array()},
      {"set-keys", {Row}},
      {"remove",
       Json::array()}}.dump();
  return sendHttpRequest(Request, HttpTimeout).m_Status == HttpOk;
}

void Fleet::setStoreFault(const std::string &Mode) const {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + address(Port::Store) + "/fault/" + Mode;
  sendHttpRequest(Request, HttpTimeout);
}

} // namespace cyclamenwalk
