#include "backend/backendstandin.h"

#include "core/types/ids.h"
#include "http/blockinghttp.h"

#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr int HttpUnprocessable = 422;
constexpr int HttpBadRequest = 400;
constexpr Duration AgentTimeout = seconds(1);
constexpr Duration SilentFor = seconds(3600);

HttpResponse respond(int Status, const Json &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Body.dump();
  return Response;
}

} // namespace

BackendStandin::BackendStandin(const BackendOptions &Options,
                               HttpServer &Server)
    : m_Options(Options), m_Run(toString(generateIncarnation())),
      m_Log(Options.m_LogFile, m_Run) {
  Server.route("POST", "/execute",
               [this](const HttpRequest &R) { return execute(R); });
  Server.route("POST", "/stop",
               [this](const HttpRequest &R) { return stop(R); });
  Server.route("GET", "/health", [this](const HttpRequest &) {
    return respond(200, {{"starts", m_Log.starts()}});
  });
}

void BackendStandin::announce() {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + m_Options.m_Agent + "/v1/announce";
  Request.m_Body = Json{
      {"service", m_Options.m_Service},
      {"address", m_Options.m_Listen},
      {"run", m_Run},
      {"slots", m_Options.m_AnnouncedSlots},
      {"connections", m_Options.m_AnnouncedSlots},
      {"cpus", 64},
      {"memory_mb",
       262144}}.dump();
  callHttp(Request, AgentTimeout);
}

void BackendStandin::leave() {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + m_Options.m_Agent + "/v1/leave";
  callHttp(Request, AgentTimeout);
}

void BackendStandin::shutDown() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsShutDown = true;
  m_Changed.notify_all();
}

BackendStandin::Work BackendStandin::readWork(const std::string &Body) {
  Json From = Json::parse(Body);
  const Json &Payload = From.at("payload");
  Work Read;
  Read.m_Task = From.at("task");
  Read.m_Payload = Payload.dump();
  Read.m_RunTime = m_Options.m_RunTime;
  Read.m_Fails = failsByChance();
  if (!Payload.is_object())
    return Read;
  if (Payload.contains("run_ms"))
    Read.m_RunTime = milliseconds(Payload.at("run_ms").get<std::uint32_t>());
  Read.m_Fails = Payload.value("fail", Read.m_Fails);
  Read.m_Reference = Payload.value("ref", "-");
  return Read;
}

bool BackendStandin::failsByChance() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Random() % 100 < m_Options.m_FailPercent;
}

/// Waits for one of the slots, first come, first served.
void BackendStandin::takeSlot() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  std::uint64_t Mine = m_NextTicket++;
  m_Changed.wait(Lock, [&] {
    return m_IsShutDown || Mine < m_Served + m_Options.m_Slots;
  });
}

void BackendStandin::leaveSlot() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Served;
  m_Changed.notify_all();
}

/// False when the task was stopped.
bool BackendStandin::waitFor(const Work &Running) {
  Duration Span = m_Options.m_IsSilent ? SilentFor : Running.m_RunTime;
  std::unique_lock<std::mutex> Lock(m_Mutex);
  bool IsEnded = m_Changed.wait_for(Lock, Span, [&] {
    return m_IsShutDown || m_Stopped.count(Running.m_Task) > 0;
  });
  m_Stopped.erase(Running.m_Task);
  return !IsEnded;
}

HttpResponse BackendStandin::execute(const HttpRequest &Request) {
  Work Running;
  try {
    Running = readWork(Request.m_Body);
  } catch (const Json::exception &) {
    return respond(HttpBadRequest, {{"error", "malformed"}});
  }
  takeSlot();
  m_Log.noteStart(Running.m_Task, Running.m_Reference);
  bool IsWhole = waitFor(Running);
  leaveSlot();
  if (!IsWhole) {
    m_Log.noteEnd(Running.m_Task, Running.m_Reference, "stopped");
    return respond(HttpUnprocessable, {{"error", "stopped"}});
  }
  if (Running.m_Fails) {
    m_Log.noteEnd(Running.m_Task, Running.m_Reference, "failed");
    return respond(HttpUnprocessable, {{"error", "failed"}});
  }
  m_Log.noteEnd(Running.m_Task, Running.m_Reference, "done");
  // The answer names its task, so that a checker can tell a crossed one.
  return respond(
      200,
      {{"result", {{"task", Running.m_Task}, {"payload", Running.m_Payload}}}});
}

HttpResponse BackendStandin::stop(const HttpRequest &Request) {
  Json From = Json::parse(Request.m_Body, nullptr, false);
  if (!From.is_object() || !From.contains("task"))
    return respond(HttpBadRequest, {{"error", "malformed"}});
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Stopped.insert(From["task"].get<std::string>());
  m_Changed.notify_all();
  return respond(200, Json::object());
}

} // namespace cyclamenwalk
