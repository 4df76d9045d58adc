#include "backend/backendstandin.h"

#include "core/types/ids.h"
#include "http/blockinghttp.h"

#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr int HttpUnprocessable = 422;
constexpr int HttpBadRequest = 400;
constexpr Duration AgentCallTimeout = seconds(1);
constexpr Duration SilentRunTime = seconds(3600);

HttpResponse respond(int Status, const Json &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Body.dump();
  return Response;
}

} // namespace

BackendStandin::BackendStandin(const BackendOptions &Options,
                               HttpServer &Server)
    : m_Options(Options), m_Incarnation(toString(generateIncarnation())),
      m_Log(Options.m_LogFile, m_Incarnation) {
  Server.route("POST", "/execute",
               [this](const HttpRequest &Request) { return execute(Request); });
  Server.route("POST", "/stop",
               [this](const HttpRequest &Request) { return stop(Request); });
  Server.route("GET", "/health", [this](const HttpRequest &) {
    return respond(200, {{"starts", m_Log.starts()}});
  });
}

void BackendStandin::announce() {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + m_Options.m_AgentAddress + "/v1/announce";
  Request.m_Body = Json{
      {"service", m_Options.m_Service},
      {"address", m_Options.m_ListenAddress},
      {"run", m_Incarnation},
      {"slots", m_Options.m_AnnouncedSlots},
      {"connections", m_Options.m_AnnouncedSlots},
      {"cpus", 64},
      {"memory_mb",
       262144}}.dump();
  sendHttpRequest(Request, AgentCallTimeout);
}

void BackendStandin::leave() {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + m_Options.m_AgentAddress + "/v1/leave";
  sendHttpRequest(Request, AgentCallTimeout);
}

void BackendStandin::shutDown() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsShuttingDown = true;
  m_StateChanged.notify_all();
}

BackendStandin::Task BackendStandin::parseTask(const std::string &Body) {
  Json Message = Json::parse(Body);
  const Json &Payload = Message.at("payload");
  Task Parsed;
  Parsed.m_Id = Message.at("task");
  Parsed.m_Payload = Payload.dump();
  Parsed.m_RunTime = m_Options.m_RunTime;
  Parsed.m_MustFail = drawFailure();
  if (!Payload.is_object())
    return Parsed;
  if (Payload.contains("run_ms"))
    Parsed.m_RunTime = milliseconds(Payload.at("run_ms").get<std::uint32_t>());
  Parsed.m_MustFail = Payload.value("fail", Parsed.m_MustFail);
  Parsed.m_Reference = Payload.value("ref", "-");
  return Parsed;
}

bool BackendStandin::drawFailure() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_RandomEngine() % 100 < m_Options.m_FailurePercent;
}

/// Waits for a free slot; slots are assigned in order of arrival.
void BackendStandin::acquireSlot() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  std::uint64_t Ticket = m_NextTicket++;
  m_StateChanged.wait(Lock, [&] {
    return m_IsShuttingDown || Ticket < m_FinishedTasks + m_Options.m_Slots;
  });
}

void BackendStandin::releaseSlot() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_FinishedTasks;
  m_StateChanged.notify_all();
}

/// Waits for the run time of the task. Returns false if it was stopped.
bool BackendStandin::simulateRun(const Task &Current) {
  Duration RunTime = m_Options.m_IsSilent ? SilentRunTime : Current.m_RunTime;
  std::unique_lock<std::mutex> Lock(m_Mutex);
  bool IsStopped = m_StateChanged.wait_for(Lock, RunTime, [&] {
    return m_IsShuttingDown || m_StoppedTasks.count(Current.m_Id) > 0;
  });
  m_StoppedTasks.erase(Current.m_Id);
  return !IsStopped;
}

HttpResponse BackendStandin::execute(const HttpRequest &Request) {
  Task Current;
  try {
    Current = parseTask(Request.m_Body);
  } catch (const Json::exception &) {
    return respond(HttpBadRequest, {{"error", "malformed"}});
  }
  acquireSlot();
  m_Log.logStart(Current.m_Id, Current.m_Reference);
  bool IsCompleted = simulateRun(Current);
  releaseSlot();
  if (!IsCompleted) {
    m_Log.logEnd(Current.m_Id, Current.m_Reference, "stopped");
    return respond(HttpUnprocessable, {{"error", "stopped"}});
  }
  if (Current.m_MustFail) {
    m_Log.logEnd(Current.m_Id, Current.m_Reference, "failed");
    return respond(HttpUnprocessable, {{"error", "failed"}});
  }
  m_Log.logEnd(Current.m_Id, Current.m_Reference, "done");
  // The answer contains the task id so that a checker can detect an answer
  // delivered for another task.
  return respond(
      200,
      {{"result", {{"task", Current.m_Id}, {"payload", Current.m_Payload}}}});
}

HttpResponse BackendStandin::stop(const HttpRequest &Request) {
  Json Message = Json::parse(Request.m_Body, nullptr, false);
  if (!Message.is_object() || !Message.contains("task"))
    return respond(HttpBadRequest, {{"error", "malformed"}});
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_StoppedTasks.insert(Message["task"].get<std::string>());
  m_StateChanged.notify_all();
  return respond(200, Json::object());
}

} // namespace cyclamenwalk
