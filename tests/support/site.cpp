#include "support/site.h"

#include "http/blockinghttp.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr int PlatformPortOffset = 90;
constexpr int MessagePortOffset = 20;
constexpr int AgentHttpPortOffset = 40;
constexpr int AgentMessagePortOffset = 60;
constexpr int BackendPortOffset = 75;
constexpr Duration HttpTimeout = seconds(40);
constexpr Duration PollPeriod = milliseconds(50);
constexpr Duration PollTimeout = seconds(30);
constexpr int HttpOk = 200;

Json makePayload(const JobOptions &Options) {
  Json Payload = {{"run_ms", toMilliseconds(Options.m_RunTime)}};
  if (!Options.m_Reference.empty())
    Payload["ref"] = Options.m_Reference;
  return Payload;
}

std::string makeBody(const JobOptions &Options) {
  Json Body = {{"service", "gatepost"},
               {"kind", Options.m_Kind},
               {"team", Options.m_Team},
               {"deadline_ms", toMilliseconds(Options.m_Deadline)},
               {"tasks", Json(Options.m_Tasks, makePayload(Options))}};
  if (!Options.m_IdempotencyKey.empty() || !Options.m_Ticket.empty())
    Body["repeatable"] = false;
  if (!Options.m_Ticket.empty())
    Body["ticket"] = Options.m_Ticket;
  return Body.dump();
}

} // namespace

CallerAnswer readCallerAnswer(const HttpResponse &Response, std::size_t Tasks) {
  CallerAnswer Answer;
  Answer.m_Tasks = Tasks;
  Answer.m_Code = ResultCode::EntryUnreachable;
  Json Body = Json::parse(Response.m_Body, nullptr, false);
  if (Response.m_Status == 0 || !Body.is_object())
    return Answer;
  Answer.m_Job = Body.value("id", "");
  Answer.m_Code = toResultCode(Body.value("code", 0));
  if (Body.contains("answers"))
    for (const Json &TaskAnswer : Body["answers"])
      Answer.m_AnsweredTaskIds.push_back(TaskAnswer.value("task", ""));
  return Answer;
}

const char *const Site::Configuration = "[service gatepost]\n"
                                        "long_threshold = 2s\n"
                                        "[team vending]\n"
                                        "[team memorial]\n";

Site::Site(int BasePort, int Entries, int Agents, std::uint32_t Slots)
    : Site(BasePort,
           SiteOptions{Entries, Agents, Slots, 0, "", Site::Configuration}) {}

Site::Site(int BasePort, SiteOptions Options)
    : m_BasePort(BasePort), m_Options(std::move(Options)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "site-XXXXXX").string();
  m_Folder = mkdtemp(Pattern.data());
  start("platform", {std::string(CW_BINARY_DIR) + "/standin-platform",
                     address(PlatformPortOffset)});
  for (int I = 0; I < m_Options.m_Entries; ++I)
    startEntry(I);
  for (int I = 0; I < m_Options.m_Agents; ++I) {
    startAgent(I);
    startBackend(I);
  }
  for (int I = 0; I < m_Options.m_Entries; ++I) {
    waitFor([this, I] { return call(I, "GET", "/readyz").m_Status == HttpOk; });
    auto Count = static_cast<std::size_t>(m_Options.m_Agents);
    waitFor([this, I, Count] { return hasWorkers(I, Count); });
    waitFor([this, I] { return hasAllEntries(I); });
  }
  waitFor([this] {
    return applyConfiguration(0, m_Options.m_Configuration, "initial", 0)
               .m_Status == HttpOk;
  });
  for (int I = 0; I < m_Options.m_Entries; ++I)
    waitFor([this, I] { return configurationVersion(I) == 1; });
}

Site::~Site() {
  stopLoad();
  m_Processes.clear();
  std::filesystem::remove_all(m_Folder);
}

std::string Site::processName(const std::string &Kind, int Index) {
  return Kind + "-" + std::to_string(Index);
}

std::string Site::address(int Offset) const {
  return "127.0.0.1:" + std::to_string(m_BasePort + Offset);
}

std::string Site::path(const std::string &File) const {
  return m_Folder + "/" + File;
}

std::string Site::writeSettings(const std::string &Name,
                                const std::string &Text) {
  std::string File = path(Name + ".ini");
  std::ofstream(File) << Text;
  return File;
}

void Site::start(const std::string &Name,
                 const std::vector<std::string> &Command) {
  m_Processes.erase(Name);
  m_Processes[Name] =
      std::make_unique<ChildProcess>(Command, path(Name + ".log"));
}

void Site::startEntry(int Index) {
  std::string Peers;
  for (int I = 0; I < m_Options.m_Entries; ++I)
    Peers += (I ? "," : "") + httpAddress(I);
  std::ostringstream Text;
  Text << "[process]\nname = " << processName("entry", Index)
       << "\nfailure_domain = cornelian\n[http]\nlisten = "
       << httpAddress(Index)
       << "\n[messages]\nlisten = " << address(MessagePortOffset + Index)
       << "\n[platform]\naddress = " << address(PlatformPortOffset)
       << "\ntimeout = 1s\n[peers]\nhttp = " << Peers << "\n"
       << m_Options.m_EntrySettings;
  start(processName("entry", Index),
        {std::string(CW_BINARY_DIR) + "/cyclamenwalk", "serve",
         writeSettings(processName("entry", Index), Text.str())});
}

void Site::startAgent(int Index) {
  std::ostringstream Text;
  Text << "[process]\nname = " << processName("agent", Index)
       << "\nfailure_domain = kingston\n[http]\nlisten = "
       << address(AgentHttpPortOffset + Index)
       << "\n[messages]\nlisten = " << address(AgentMessagePortOffset + Index)
       << "\n[platform]\naddress = " << address(PlatformPortOffset)
       << "\n[entries]\naddresses = ";
  for (int I = 0; I < m_Options.m_Entries; ++I)
    Text << (I ? "," : "") << messageAddress(I);
  Text << "\n[executor]\nthreads = "
       << std::max(64U, m_Options.m_AnnouncedSlots) << "\n";
  start(processName("agent", Index),
        {std::string(CW_BINARY_DIR) + "/cyclamenwalk-agent",
         writeSettings(processName("agent", Index), Text.str())});
}

void Site::startBackend(int Index,
                        const std::vector<std::string> &ExtraOptions) {
  std::vector<std::string> Command = {
      std::string(CW_BINARY_DIR) + "/standin-backend",
      "--listen",
      address(BackendPortOffset + Index),
      "--agent",
      address(AgentHttpPortOffset + Index),
      "--service",
      "gatepost",
      "--slots",
      std::to_string(m_Options.m_Slots),
      "--announce-slots",
      std::to_string(m_Options.m_AnnouncedSlots),
      "--log",
      path("run-" + std::to_string(Index))};
  Command.insert(Command.end(), ExtraOptions.begin(), ExtraOptions.end());
  start(processName("backend", Index), Command);
}

void Site::setPlatformFault(const std::string &Mode) const {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + address(PlatformPortOffset) + "/fault/" + Mode;
  sendHttpRequest(Request, HttpTimeout);
}

HttpResponse Site::call(int Entry, const std::string &Method,
                        const std::string &Path,
                        const std::string &Body) const {
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Url = "http://" + httpAddress(Entry) + Path;
  Request.m_Body = Body;
  return sendHttpRequest(Request, HttpTimeout);
}

CallerAnswer Site::sendJob(int Entry, const JobOptions &Options) const {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + httpAddress(Entry) + "/v1/jobs";
  Request.m_Body = makeBody(Options);
  if (!Options.m_IdempotencyKey.empty())
    Request.m_Headers["Idempotency-Key"] = Options.m_IdempotencyKey;
  CallerAnswer Answer =
      readCallerAnswer(sendHttpRequest(Request, HttpTimeout), Options.m_Tasks);
  Answer.m_Reference = Options.m_Reference;
  return Answer;
}

CallerAnswer Site::submit(int Entry, const JobOptions &Options) {
  CallerAnswer Answer = sendJob(Entry, Options);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Answers.push_back(Answer);
  return Answer;
}

void Site::startLoad(int Entry, const JobOptions &Options) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsLoadRunning = true;
  }
  m_LoadThreads.emplace_back([this, Entry, Options] {
    for (bool IsLoadRunning = true; IsLoadRunning;) {
      submit(Entry, Options);
      std::lock_guard<std::mutex> Lock(m_Mutex);
      IsLoadRunning = m_IsLoadRunning;
    }
  });
}

void Site::stopLoad() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsLoadRunning = false;
  }
  for (std::thread &Thread : m_LoadThreads)
    Thread.join();
  m_LoadThreads.clear();
}

HttpResponse Site::applyConfiguration(int Entry, const std::string &Text,
                                      const std::string &ApplyId,
                                      std::uint64_t BaseVersion) const {
  return call(Entry, "POST",
              "/v1/configuration?operator=tester&apply_id=" + ApplyId +
                  "&base=" + std::to_string(BaseVersion),
              Text);
}

std::uint64_t Site::configurationVersion(int Entry) const {
  Json Body = Json::parse(call(Entry, "GET", "/v1/configuration").m_Body,
                          nullptr, false);
  return Body.is_object() ? Body.value("version", 0ULL) : 0;
}

std::string Site::createTicket(int Entry) const {
  Json Body =
      Json::parse(call(Entry, "POST", "/v1/tickets").m_Body, nullptr, false);
  return Body.is_object() ? Body.value("ticket", "") : "";
}

bool Site::hasWorkers(int Entry, std::size_t Count) const {
  Json Body =
      Json::parse(call(Entry, "GET", "/v1/status").m_Body, nullptr, false);
  if (!Body.is_object())
    return false;
  std::size_t ServingWorkers = 0;
  for (const Json &Worker : Body["workers"])
    ServingWorkers += Worker["slots"] > 0 && !Worker["leaving"].get<bool>();
  return ServingWorkers == Count;
}

bool Site::hasAllEntries(int Entry) const {
  Json Body =
      Json::parse(call(Entry, "GET", "/v1/status").m_Body, nullptr, false);
  return Body.is_object() && Body["entries"].size() ==
                                 static_cast<std::size_t>(m_Options.m_Entries);
}

bool Site::waitFor(const std::function<bool()> &Condition) {
  TimePoint End = Clock::now() + PollTimeout;
  while (!Condition()) {
    if (Clock::now() >= End)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

BackendLog Site::log() const {
  BackendLog Log;
  for (const auto &File : std::filesystem::directory_iterator(m_Folder))
    if (File.path().filename().string().rfind("run-", 0) == 0)
      Log.addFile(File.path());
  return Log;
}

std::vector<CallerAnswer> Site::answers() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Answers;
}

std::vector<std::string> Site::violations() const {
  return findViolations(log(), answers());
}

std::string Site::readLog(const std::string &Process) const {
  std::ifstream Stream(path(Process + ".log"));
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace cyclamenwalk
