#include "support/site.h"

#include "http/blockinghttp.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr int PlatformOffset = 90;
constexpr int MessageOffset = 20;
constexpr int AgentHttpOffset = 40;
constexpr int AgentMessageOffset = 60;
constexpr int BackendOffset = 75;
constexpr Duration CallTimeout = seconds(40);
constexpr Duration PollStep = milliseconds(50);
constexpr Duration PollLimit = seconds(30);
constexpr int HttpOk = 200;

Json payload(const JobOrderForm &Form) {
  Json Payload = {{"run_ms", toMilliseconds(Form.m_RunTime)}};
  if (!Form.m_Reference.empty())
    Payload["ref"] = Form.m_Reference;
  return Payload;
}

std::string body(const JobOrderForm &Form) {
  Json Body = {{"service", "gatepost"},
               {"kind", Form.m_Kind},
               {"team", Form.m_Team},
               {"deadline_ms", toMilliseconds(Form.m_Deadline)},
               {"tasks", Json(Form.m_Tasks, payload(Form))}};
  if (!Form.m_IdempotencyKey.empty() || !Form.m_Ticket.empty())
    Body["repeatable"] = false;
  if (!Form.m_Ticket.empty())
    Body["ticket"] = Form.m_Ticket;
  return Body.dump();
}

} // namespace

CallerAnswer readCallerAnswer(const HttpResponse &Response, std::size_t Tasks) {
  CallerAnswer Told;
  Told.m_Tasks = Tasks;
  Told.m_Code = ResultCode::EntryUnreachable;
  Json Body = Json::parse(Response.m_Body, nullptr, false);
  if (Response.m_Status == 0 || !Body.is_object())
    return Told;
  Told.m_Job = Body.value("id", "");
  Told.m_Code = toResultCode(Body.value("code", 0));
  if (Body.contains("answers"))
    for (const Json &Answer : Body["answers"])
      Told.m_AnsweredTasks.push_back(Answer.value("task", ""));
  return Told;
}

const char *const Site::Configuration = "[service gatepost]\n"
                                        "long_threshold = 2s\n"
                                        "[team vending]\n"
                                        "[team memorial]\n";

Site::Site(int BasePort, int Entries, int Agents, std::uint32_t Slots)
    : Site(BasePort,
           SiteForm{Entries, Agents, Slots, 0, "", Site::Configuration}) {}

Site::Site(int BasePort, SiteForm Form)
    : m_BasePort(BasePort), m_Form(std::move(Form)) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "site-XXXXXX").string();
  m_Folder = mkdtemp(Pattern.data());
  start("platform", {std::string(CW_BINARY_DIR) + "/standin-platform",
                     address(PlatformOffset)});
  for (int I = 0; I < m_Form.m_Entries; ++I)
    startEntry(I);
  for (int I = 0; I < m_Form.m_Agents; ++I) {
    startAgent(I);
    startBackend(I);
  }
  for (int I = 0; I < m_Form.m_Entries; ++I) {
    waitFor([this, I] { return call(I, "GET", "/readyz").m_Status == HttpOk; });
    auto Count = static_cast<std::size_t>(m_Form.m_Agents);
    waitFor([this, I, Count] { return hasWorkers(I, Count); });
    waitFor([this, I] { return knowsAllEntries(I); });
  }
  waitFor([this] {
    return apply(0, m_Form.m_Configuration, "initial", 0).m_Status == HttpOk;
  });
  for (int I = 0; I < m_Form.m_Entries; ++I)
    waitFor([this, I] { return version(I) == 1; });
}

Site::~Site() {
  stopLoad();
  m_Processes.clear();
  std::filesystem::remove_all(m_Folder);
}

std::string Site::name(const std::string &Kind, int Index) {
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
  for (int I = 0; I < m_Form.m_Entries; ++I)
    Peers += (I ? "," : "") + httpAddress(I);
  std::ostringstream Text;
  Text << "[process]\nname = " << name("entry", Index)
       << "\nfailure_domain = cornelian\n[http]\nlisten = "
       << httpAddress(Index)
       << "\n[messages]\nlisten = " << address(MessageOffset + Index)
       << "\n[platform]\naddress = " << address(PlatformOffset)
       << "\ntimeout = 1s\n[peers]\nhttp = " << Peers << "\n"
       << m_Form.m_EntrySettings;
  start(name("entry", Index),
        {std::string(CW_BINARY_DIR) + "/cyclamenwalk", "serve",
         writeSettings(name("entry", Index), Text.str())});
}

void Site::startAgent(int Index) {
  std::ostringstream Text;
  Text << "[process]\nname = " << name("agent", Index)
       << "\nfailure_domain = kingston\n[http]\nlisten = "
       << address(AgentHttpOffset + Index)
       << "\n[messages]\nlisten = " << address(AgentMessageOffset + Index)
       << "\n[platform]\naddress = " << address(PlatformOffset)
       << "\n[entries]\naddresses = ";
  for (int I = 0; I < m_Form.m_Entries; ++I)
    Text << (I ? "," : "") << messageAddress(I);
  Text << "\n[executor]\nthreads = " << std::max(64U, m_Form.m_AnnouncedSlots)
       << "\n";
  start(name("agent", Index),
        {std::string(CW_BINARY_DIR) + "/cyclamenwalk-agent",
         writeSettings(name("agent", Index), Text.str())});
}

void Site::startBackend(int Index,
                        const std::vector<std::string> &MoreOptions) {
  std::vector<std::string> Command = {std::string(CW_BINARY_DIR) +
                                          "/standin-backend",
                                      "--listen",
                                      address(BackendOffset + Index),
                                      "--agent",
                                      address(AgentHttpOffset + Index),
                                      "--service",
                                      "gatepost",
                                      "--slots",
                                      std::to_string(m_Form.m_Slots),
                                      "--announce-slots",
                                      std::to_string(m_Form.m_AnnouncedSlots),
                                      "--log",
                                      path("run-" + std::to_string(Index))};
  Command.insert(Command.end(), MoreOptions.begin(), MoreOptions.end());
  start(name("backend", Index), Command);
}

void Site::setPlatformFault(const std::string &Mode) const {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + address(PlatformOffset) + "/fault/" + Mode;
  callHttp(Request, CallTimeout);
}

HttpResponse Site::call(int Entry, const std::string &Method,
                        const std::string &Path,
                        const std::string &Body) const {
  HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Url = "http://" + httpAddress(Entry) + Path;
  Request.m_Body = Body;
  return callHttp(Request, CallTimeout);
}

CallerAnswer Site::submitUnrecorded(int Entry, const JobOrderForm &Form) const {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + httpAddress(Entry) + "/v1/jobs";
  Request.m_Body = body(Form);
  if (!Form.m_IdempotencyKey.empty())
    Request.m_Headers["Idempotency-Key"] = Form.m_IdempotencyKey;
  CallerAnswer Told =
      readCallerAnswer(callHttp(Request, CallTimeout), Form.m_Tasks);
  Told.m_Reference = Form.m_Reference;
  return Told;
}

CallerAnswer Site::submit(int Entry, const JobOrderForm &Form) {
  CallerAnswer Told = submitUnrecorded(Entry, Form);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Answers.push_back(Told);
  return Told;
}

void Site::startLoad(int Entry, const JobOrderForm &Form) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsLoading = true;
  }
  m_Load.emplace_back([this, Entry, Form] {
    for (bool IsLoading = true; IsLoading;) {
      submit(Entry, Form);
      std::lock_guard<std::mutex> Lock(m_Mutex);
      IsLoading = m_IsLoading;
    }
  });
}

void Site::stopLoad() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsLoading = false;
  }
  for (std::thread &Running : m_Load)
    Running.join();
  m_Load.clear();
}

HttpResponse Site::apply(int Entry, const std::string &Text,
                         const std::string &ApplyId, std::uint64_t Base) const {
  return call(Entry, "POST",
              "/v1/configuration?operator=tester&apply_id=" + ApplyId +
                  "&base=" + std::to_string(Base),
              Text);
}

std::uint64_t Site::version(int Entry) const {
  Json Body = Json::parse(call(Entry, "GET", "/v1/configuration").m_Body,
                          nullptr, false);
  return Body.is_object() ? Body.value("version", 0ULL) : 0;
}

std::string Site::ticket(int Entry) const {
  Json Body =
      Json::parse(call(Entry, "POST", "/v1/tickets").m_Body, nullptr, false);
  return Body.is_object() ? Body.value("ticket", "") : "";
}

bool Site::hasWorkers(int Entry, std::size_t Count) const {
  Json Body =
      Json::parse(call(Entry, "GET", "/v1/status").m_Body, nullptr, false);
  if (!Body.is_object())
    return false;
  std::size_t Serving = 0;
  for (const Json &Worker : Body["workers"])
    Serving += Worker["slots"] > 0 && !Worker["leaving"].get<bool>();
  return Serving == Count;
}

bool Site::knowsAllEntries(int Entry) const {
  Json Body =
      Json::parse(call(Entry, "GET", "/v1/status").m_Body, nullptr, false);
  return Body.is_object() &&
         Body["entries"].size() == static_cast<std::size_t>(m_Form.m_Entries);
}

bool Site::waitFor(const std::function<bool()> &Holds) {
  TimePoint End = Clock::now() + PollLimit;
  while (!Holds()) {
    if (Clock::now() >= End)
      return false;
    std::this_thread::sleep_for(PollStep);
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

std::string Site::logText(const std::string &Process) const {
  std::ifstream Stream(path(Process + ".log"));
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

} // namespace cyclamenwalk
