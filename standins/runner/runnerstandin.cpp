#include "runner/runnerstandin.h"

#include "http/blockinghttp.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr Duration TimerPeriod = milliseconds(5);
constexpr Duration HeartbeatPeriod = milliseconds(500);
constexpr Duration MaxLeaseDuration = milliseconds(1000);
constexpr int HttpOk = 200;
constexpr int HttpConflict = 409;

HttpResponse respond(int Status, const Json &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Body.dump();
  return Response;
}

} // namespace

void RunOverlapCounter::started(const ObservedRun &Run) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Starts;
  if (++m_RunningCounts[Run.m_Task] > 1)
    ++m_Overlaps;
}

void RunOverlapCounter::ended(const ObservedRun &Run, const std::string &) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  --m_RunningCounts[Run.m_Task];
}

int RunOverlapCounter::overlaps() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Overlaps;
}

int RunOverlapCounter::starts() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Starts;
}

RunnerStandin::RunnerStandin(RunnerOptions Options, IRunObserver &Observer)
    : m_Options(std::move(Options)), m_Observer(Observer),
      m_Server({m_Options.m_Listen}) {
  m_Server.route("POST", "/run-start", [this](const HttpRequest &Request) {
    return handleStart(Request);
  });
  m_Server.route("POST", "/run-stop", [this](const HttpRequest &Request) {
    return handleStop(Request);
  });
  m_Server.route("POST", "/hold", [this](const HttpRequest &Request) {
    return handleHold(Request);
  });
  m_Server.start();
  m_TimerThread = std::thread([this] { runTimer(); });
  m_HeartbeatThread = std::thread([this] { sendHeartbeats(); });
}

RunnerStandin::~RunnerStandin() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsShuttingDown = true;
  }
  m_StateChanged.notify_all();
  m_TimerThread.join();
  m_HeartbeatThread.join();
  m_Server.stop(seconds(3));
  for (const auto &Active : m_ActiveRuns)
    m_Observer.ended(makeObservedRun(Active.first, Active.second), "lost");
}

void RunnerStandin::setFault(const RunnerFault &Fault, std::uint32_t Seed) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Fault = Fault;
  m_RandomEngine.seed(Seed);
}

void RunnerStandin::leave() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsDraining = true;
  m_StateChanged.notify_all();
}

bool RunnerStandin::drawFault(double Ratio) {
  return std::uniform_real_distribution<double>()(m_RandomEngine) < Ratio;
}

ObservedRun RunnerStandin::makeObservedRun(const std::string &Task,
                                           const Run &Current) const {
  return {m_Options.m_Id, Task, Current.m_Number, Current.m_Spec};
}

std::int64_t RunnerStandin::clockMilliseconds() const {
  return toMilliseconds(Clock::now() - m_ClockOrigin);
}

bool RunnerStandin::acceptFencingToken(std::uint64_t FencingToken) {
  m_HighestToken = std::max(m_HighestToken, FencingToken);
  return FencingToken == m_HighestToken;
}

void RunnerStandin::extendLease(std::int64_t ExpiresAtClock) {
  TimePoint ExpiresAt = m_ClockOrigin + milliseconds(ExpiresAtClock);
  m_LeaseExpiresAt = std::max(
      m_LeaseExpiresAt, std::min(ExpiresAt, Clock::now() + MaxLeaseDuration));
}

HttpResponse RunnerStandin::handleStart(const HttpRequest &Request) {
  Json Body = Json::parse(Request.m_Body);
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (drawFault(m_Fault.m_DelayRatio))
    m_StateChanged.wait_for(Lock, m_Fault.m_Delay,
                            [this] { return m_IsShuttingDown; });
  Json Reply{{"clock-ms", clockMilliseconds()}};
  std::string Task = Body.at("task");
  std::uint32_t RunNumber = Body.at("run");
  if (!acceptFencingToken(Body.at("fencing-token"))) {
    Reply["reason"] = "fence";
    return respond(HttpConflict, Reply);
  }
  if (RunNumber <= m_LastRunNumbers[Task] || m_ActiveRuns.count(Task) > 0) {
    Reply["reason"] = "old";
    return respond(HttpConflict, Reply);
  }
  extendLease(Body.at("deadline-ms"));
  TimePoint Now = Clock::now();
  std::string Spec = Body.at("spec");
  Run &Started = m_ActiveRuns[Task];
  Started = {RunNumber, Spec, Now, Now + milliseconds(std::stoi(Spec))};
  m_Observer.started(makeObservedRun(Task, Started));
  return respond(200, Reply);
}

HttpResponse RunnerStandin::handleStop(const HttpRequest &Request) {
  Json Body = Json::parse(Request.m_Body);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::string Task = Body.at("task");
  bool IsCurrentRun = acceptFencingToken(Body.at("fencing-token")) &&
                      m_ActiveRuns.count(Task) > 0 &&
                      m_ActiveRuns[Task].m_Number == Body.at("run");
  if (IsCurrentRun)
    finish(Task, "stopped");
  return respond(200, {{"clock-ms", clockMilliseconds()}});
}

HttpResponse RunnerStandin::handleHold(const HttpRequest &Request) {
  Json Body = Json::parse(Request.m_Body);
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (!acceptFencingToken(Body.at("fencing-token")))
    return respond(HttpConflict,
                   {{"clock-ms", clockMilliseconds()}, {"reason", "fence"}});
  if (Body.contains("deadline-ms"))
    extendLease(Body["deadline-ms"]);
  std::uint64_t LastSeen = Body.at("last-seen");
  std::erase_if(m_UnacknowledgedEnds, [LastSeen](const RunEnd &Ended) {
    return Ended.m_Sequence <= LastSeen;
  });
  if (drawFault(m_Fault.m_DelayRatio))
    m_StateChanged.wait_for(Lock, m_Fault.m_Delay,
                            [this] { return m_IsShuttingDown; });
  m_StateChanged.wait_for(Lock, milliseconds(Body.value("wait-ms", 0)), [this] {
    return m_IsShuttingDown || !m_UnacknowledgedEnds.empty();
  });
  Json Running = Json::array();
  for (const auto &Active : m_ActiveRuns) {
    auto RunTime = Active.second.m_EndsAt - Active.second.m_StartedAt;
    auto Elapsed = Clock::now() - Active.second.m_StartedAt;
    auto Percent = Elapsed * 100 / std::max<Duration>(RunTime, Duration(1));
    Running.push_back({Active.first, Active.second.m_Number, "",
                       m_Fault.m_IsHanging ? 0 : Percent});
  }
  Json Finished = Json::array();
  for (const RunEnd &Ended : m_UnacknowledgedEnds)
    Finished.push_back(
        {Ended.m_Sequence, Ended.m_Task, Ended.m_Run, Ended.m_Outcome, ""});
  return respond(200, {{"clock-ms", clockMilliseconds()},
                       {"born", m_StartedAtMs},
                       {"running", Running},
                       {"finished", Finished}});
}

void RunnerStandin::finish(const std::string &Task, const char *Outcome) {
  Run FinishedRun = m_ActiveRuns.at(Task);
  m_ActiveRuns.erase(Task);
  m_LastRunNumbers[Task] = FinishedRun.m_Number;
  m_UnacknowledgedEnds.push_back(
      {++m_LastEndSequence, Task, FinishedRun.m_Number, Outcome});
  m_Observer.ended(makeObservedRun(Task, FinishedRun), Outcome);
  m_StateChanged.notify_all();
}

void RunnerStandin::runTimer() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (!m_IsShuttingDown) {
    m_StateChanged.wait_for(Lock, TimerPeriod);
    finishDueRuns(Clock::now());
  }
}

void RunnerStandin::finishDueRuns(TimePoint Now) {
  std::vector<std::pair<std::string, const char *>> DueRuns;
  for (const auto &Active : m_ActiveRuns) {
    if (Now >= m_LeaseExpiresAt)
      DueRuns.emplace_back(Active.first, "lapsed");
    else if (Now >= Active.second.m_EndsAt && !m_Fault.m_IsHanging)
      DueRuns.emplace_back(
          Active.first, drawFault(m_Fault.m_FailureRatio) ? "failed" : "done");
  }
  for (const auto &DueRun : DueRuns)
    finish(DueRun.first, DueRun.second);
}

void RunnerStandin::sendHeartbeats() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (!m_IsShuttingDown) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Url = "http://" + m_Options.m_Agent + "/Instances.Heartbeat/" +
                    m_Options.m_Id;
    Request.m_Body =
        Json{{"service", m_Options.m_Service},
             {"address", m_Options.m_AnnouncedAddress.empty()
                             ? m_Options.m_Listen
                             : m_Options.m_AnnouncedAddress},
             {"state", m_IsDraining ? "draining" : "ready"},
             {"capacity", {{"cpu", MilliCores}, {"mem-mb", 32768}, {"gpu", 0}}},
             {"labels", {"a", "r1"}},
             {"clock-ms", clockMilliseconds()},
             {"born", m_StartedAtMs},
             {"sequence", ++m_HeartbeatSequence}}
            .dump();
    bool AnnouncesDraining = m_IsDraining;
    Lock.unlock();
    bool IsAcknowledged =
        sendHttpRequest(Request, seconds(1)).m_Status == HttpOk;
    if (AnnouncesDraining && IsAcknowledged)
      m_Observer.leaving(m_Options.m_Id);
    Lock.lock();
    m_StateChanged.wait_for(Lock, HeartbeatPeriod, [this, AnnouncesDraining] {
      return m_IsShuttingDown || m_IsDraining != AnnouncesDraining;
    });
  }
}

} // namespace cyclamenwalk
