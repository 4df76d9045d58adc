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

constexpr Duration CallTimeout = seconds(1);
constexpr Duration PollStep = milliseconds(50);
constexpr Duration KillLimit = seconds(5);
constexpr int HttpOk = 200;

std::string nameOf(const std::string &Kind, int Index) {
  return Kind + "-" + std::to_string(Index);
}

bool isEntry(const std::string &Process) {
  return Process.rfind("entry-", 0) == 0;
}

int indexOf(const std::string &Process) {
  return std::stoi(Process.substr(Process.find('-') + 1));
}

std::vector<std::string> namesOf(const std::string &Kind, int Count) {
  std::vector<std::string> Names;
  Names.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Names.push_back(nameOf(Kind, I));
  return Names;
}

/// One route that stays, and one whose path names the version.
Json configuration(std::uint64_t Version) {
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

Fleet::Fleet(FleetForm Form, IRunObserver &Watch)
    : m_Form(Form), m_Watch(Watch) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
  m_Folder = mkdtemp(Pattern.data());
  addProxy("store", Port::StoreProxy, Port::Store);
  start("store");
  while (!writeConfiguration(1))
    std::this_thread::sleep_for(PollStep);
  for (int I = 0; I < m_Form.m_Entries; ++I) {
    std::string Name = nameOf("entry", I);
    addProxy(Name, Port::EntryCallsProxy, Port::EntryCalls, I);
    addProxy(Name, Port::EntryMessagesProxy, Port::EntryMessages, I);
    start(Name);
  }
  for (int I = 0; I < m_Form.m_Agents; ++I) {
    std::string Name = nameOf("agent", I);
    addProxy(Name, Port::AgentMessagesProxy, Port::AgentMessages, I);
    addProxy(Name, Port::RunnerProxy, Port::Runner, I);
    start(Name);
    m_Runners.emplace_back();
    startRunner(I);
  }
}

Fleet::~Fleet() { m_Processes.clear(); }

std::vector<std::string> Fleet::entries() const {
  return namesOf("entry", m_Form.m_Entries);
}

std::vector<std::string> Fleet::agents() const {
  return namesOf("agent", m_Form.m_Agents);
}

std::string Fleet::address(Port Kind, int Index) const {
  return "127.0.0.1:" +
         std::to_string(m_Form.m_BasePort + static_cast<int>(Kind) + Index);
}

void Fleet::addProxy(const std::string &Process, Port Listen, Port Target,
                     int Index) {
  m_Proxies[Process].push_back(std::make_unique<FaultProxy>(
      address(Listen, Index), address(Target, Index)));
}

std::vector<FaultProxy *> Fleet::proxiesOf(const std::string &Process) {
  std::vector<FaultProxy *> Found;
  for (const auto &Known : m_Proxies.at(Process))
    Found.push_back(Known.get());
  return Found;
}

std::string Fleet::settings(const std::string &Process) const {
  int I = indexOf(Process);
  bool IsEntry = isEntry(Process);
  std::ostringstream Text;
  Text << "[process]\nname = " << Process
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
  for (int Seed = 0; Seed < std::min(3, m_Form.m_Entries); ++Seed)
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
    std::ofstream(File) << settings(Process);
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
  wait(Process, KillLimit);
}

int Fleet::wait(const std::string &Process, Duration Limit) {
  return m_Processes.at(Process)->wait(Limit);
}

void Fleet::startRunner(int Index) {
  RunnerForm Form;
  Form.m_Id = "i-" + std::to_string(Index);
  Form.m_Listen = address(Port::Runner, Index);
  Form.m_Agent = address(Port::AgentCalls, Index);
  Form.m_Announced = address(Port::RunnerProxy, Index);
  m_Runners.at(Index) = std::make_unique<RunnerStandin>(Form, m_Watch);
}

void Fleet::restartRunner(int Index) {
  m_Runners.at(Index).reset();
  startRunner(Index);
}

std::string Fleet::callAddress(int Entry) const {
  return address(Port::EntryCallsProxy, Entry);
}

std::string Fleet::directAddress(int Entry) const {
  return address(Port::EntryCalls, Entry);
}

bool Fleet::isReady(int Entry) const {
  HttpRequest Request;
  Request.m_Url = "http://" + address(Port::EntryReadiness, Entry) + "/readyz";
  return callHttp(Request, CallTimeout).m_Status == HttpOk;
}

bool Fleet::waitUntilReady(Duration Limit) const {
  TimePoint End = Clock::now() + Limit;
  for (int I = 0; I < m_Form.m_Entries; ++I)
    while (!isReady(I)) {
      if (Clock::now() > End)
        return false;
      std::this_thread::sleep_for(PollStep);
    }
  return true;
}

bool Fleet::writeConfiguration(std::uint64_t Version) const {
  HttpRequest Request;
  Request.m_Method = "POST";
  // The operator has a path of its own to the store.
  Request.m_Url = "http://" + address(Port::Store) + "/rows-tx";
  Json Row{{"table", "op"},
           {"part", ""},
           {"key", "config"},
           {"value", toBase64(configuration(Version).dump())}};
  Request.m_Body = Json{
      {"expected-revision", Json::array()},
      {"set-keys", {Row}},
      {"remove",
       Json::array()}}.dump();
  return callHttp(Request, CallTimeout).m_Status == HttpOk;
}

void Fleet::setStoreFault(const std::string &Mode) const {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + address(Port::Store) + "/fault/" + Mode;
  callHttp(Request, CallTimeout);
}

} // namespace cyclamenwalk
