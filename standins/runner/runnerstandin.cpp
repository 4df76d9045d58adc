#include "runner/runnerstandin.h"

#include "http/blockinghttp.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr Duration TimerPeriod = milliseconds(5);
constexpr Duration HeartbeatPeriod = milliseconds(500);
constexpr Duration HeartbeatTimeout = seconds(1);
constexpr Duration MaxLeaseDuration = milliseconds(1000);
constexpr Duration MaxHoldWait = milliseconds(2000);
/// A stop takes at most 50 ms.
constexpr Duration StopTime = milliseconds(35);
constexpr std::size_t MaxListedEnds = 500;
constexpr int HttpOk = 200;
constexpr int HttpConflict = 409;
constexpr int HttpMisdirected = 421;
constexpr int HttpUnavailable = 503;

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
  crash();
  m_TimerThread.join();
  m_HeartbeatThread.join();
  m_Server.stop(seconds(3));
}

void RunnerStandin::crash() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsShuttingDown = true;
  loseRuns();
  m_StateChanged.notify_all();
}

void RunnerStandin::setFault(const RunnerFault &Fault, std::uint32_t Seed) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Fault = Fault;
  m_RandomEngine.seed(Seed);
}

void RunnerStandin::leave(const RunnerDeparture &Departure) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Departure = Departure;
  m_IsDraining = true;
  m_StateChanged.notify_all();
}

bool RunnerStandin::drawFault(double Ratio) {
  return std::uniform_real_distribution<double>()(m_RandomEngine) < Ratio;
}

ObservedRun RunnerStandin::makeObservedRun(const RunKey &Key,
                                           const Run &Current) const {
  return {m_Options.m_Id, Key.first, Key.second, Current.m_Spec};
}

Duration RunnerStandin::clock() const {
  return scaled(Clock::now() - m_ClockOrigin, m_Options.m_ClockRate);
}

HttpResponse RunnerStandin::respond(int Status,
                                    const std::string &Reason) const {
  Json Body{{"clock-ms", toMilliseconds(clock())},
            {"born", toMilliseconds(m_StartedAt)}};
  if (!Reason.empty())
    Body["reason"] = Reason;
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Body.dump();
  return Response;
}

bool RunnerStandin::acceptFencingToken(const HttpRequest &Request) {
  auto Token =
      Json::parse(Request.m_Body).value("fencing-token", std::uint64_t(0));
  m_HighestToken = std::max(m_HighestToken, Token);
  return Token == m_HighestToken;
}

bool RunnerStandin::isMisdirected(const HttpRequest &Request) const {
  std::string Expected = Request.header("X-Cyclamenwalk-Expected-Instance");
  return !Expected.empty() && Expected != m_Options.m_Id;
}

void RunnerStandin::extendLease(Duration ExpiresAtClock) {
  m_LeaseExpiresAt = std::max(
      m_LeaseExpiresAt, std::min(ExpiresAtClock, clock() + MaxLeaseDuration));
}

HttpResponse RunnerStandin::handleStart(const HttpRequest &Request) {
  Json Body = Json::parse(Request.m_Body);
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (drawFault(m_Fault.m_DelayRatio))
    m_StateChanged.wait_for(Lock, m_Fault.m_Delay,
                            [this] { return m_IsShuttingDown; });
  if (m_IsShuttingDown)
    return respond(HttpUnavailable);
  if (isMisdirected(Request))
    return respond(HttpMisdirected);
  if (!acceptFencingToken(Request))
    return respond(HttpConflict, "fence");
  RunKey Key{Body.at("task"), Body.at("run")};
  Duration Deadline = milliseconds(Body.at("deadline-ms").get<std::int64_t>());
  if (Deadline <= clock())
    return respond(HttpConflict, "late");
  extendLease(Deadline);
  if (m_ActiveRuns.count(Key) > 0)
    return respond(HttpOk);
  if (Key.second <= m_LastRunNumbers[Key.first])
    return respond(HttpConflict, "old");
  TimePoint Now = Clock::now();
  std::string Spec = Body.at("spec");
  Run &Started = m_ActiveRuns[Key];
  Started = {Spec, Now, Now + milliseconds(std::stoi(Spec))};
  m_Observer.started(makeObservedRun(Key, Started));
  return respond(HttpOk);
}

HttpResponse RunnerStandin::handleStop(const HttpRequest &Request) {
  Json Body = Json::parse(Request.m_Body);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_IsShuttingDown)
    return respond(HttpUnavailable);
  if (isMisdirected(Request))
    return respond(HttpMisdirected);
  if (!acceptFencingToken(Request))
    return respond(HttpConflict, "fence");
  RunKey Key{Body.at("task"), Body.at("run")};
  std::uint32_t &LastRun = m_LastRunNumbers[Key.first];
  LastRun = std::max(LastRun, Key.second);
  auto It = m_ActiveRuns.find(Key);
  if (It != m_ActiveRuns.end())
    It->second.m_StopsAt =
        std::min(It->second.m_StopsAt, Clock::now() + StopTime);
  return respond(HttpOk);
}

HttpResponse RunnerStandin::handleHold(const HttpRequest &Request) {
  Json Body = Json::parse(Request.m_Body);
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (isMisdirected(Request))
    return respond(HttpMisdirected);
  if (!acceptFencingToken(Request))
    return respond(HttpConflict, "fence");
  if (Body.contains("deadline-ms"))
    extendLease(milliseconds(Body["deadline-ms"].get<std::int64_t>()));
  std::uint64_t LastSeen = Body.at("last-seen");
  std::erase_if(m_UnacknowledgedEnds, [LastSeen](const RunEnd &Ended) {
    return Ended.m_Sequence <= LastSeen;
  });
  if (drawFault(m_Fault.m_DelayRatio))
    m_StateChanged.wait_for(Lock, m_Fault.m_Delay,
                            [this] { return m_IsShuttingDown; });
  Duration Wait =
      std::min<Duration>(milliseconds(Body.value("wait-ms", 0)), MaxHoldWait);
  m_StateChanged.wait_for(Lock, Wait, [this] {
    return m_IsShuttingDown || !m_UnacknowledgedEnds.empty();
  });
  if (m_IsShuttingDown)
    return respond(HttpUnavailable);
  HttpResponse Response = respond(HttpOk);
  Json Reply = Json::parse(Response.m_Body);
  Reply["running"] = listRunning();
  Reply["finished"] = listFinished();
  Response.m_Body = Reply.dump();
  return Response;
}

nlohmann::json RunnerStandin::listRunning() const {
  Json Running = Json::array();
  for (const auto &Active : m_ActiveRuns) {
    auto RunTime = Active.second.m_EndsAt - Active.second.m_StartedAt;
    auto Elapsed = Clock::now() - Active.second.m_StartedAt;
    auto Percent = Elapsed * 100 / std::max<Duration>(RunTime, Duration(1));
    Running.push_back({Active.first.first, Active.first.second, "",
                       m_Fault.m_IsHanging ? 0 : Percent});
  }
  return Running;
}

nlohmann::json RunnerStandin::listFinished() const {
  Json Finished = Json::array();
  for (const RunEnd &Ended : m_UnacknowledgedEnds) {
    if (Finished.size() == MaxListedEnds)
      break;
    Finished.push_back({Ended.m_Sequence, Ended.m_Run.first, Ended.m_Run.second,
                        Ended.m_Outcome, ""});
  }
  return Finished;
}

void RunnerStandin::finish(const RunKey &Key, const char *Outcome) {
  Run FinishedRun = m_ActiveRuns.at(Key);
  m_ActiveRuns.erase(Key);
  std::uint32_t &LastRun = m_LastRunNumbers[Key.first];
  LastRun = std::max(LastRun, Key.second);
  m_UnacknowledgedEnds.push_back({++m_LastEndSequence, Key, Outcome});
  m_Observer.ended(makeObservedRun(Key, FinishedRun), Outcome);
  m_StateChanged.notify_all();
}

void RunnerStandin::runTimer() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (!m_IsShuttingDown) {
    m_StateChanged.wait_for(Lock, TimerPeriod);
    if (!m_IsShuttingDown)
      finishDueRuns(Clock::now());
  }
}

void RunnerStandin::finishDueRuns(TimePoint Now) {
  bool HasLapsed = clock() >= m_LeaseExpiresAt;
  std::vector<std::pair<RunKey, const char *>> DueRuns;
  for (const auto &Active : m_ActiveRuns) {
    if (HasLapsed)
      DueRuns.emplace_back(Active.first, "lapsed");
    else if (Now >= Active.second.m_StopsAt)
      DueRuns.emplace_back(Active.first, "stopped");
    else if (Now >= Active.second.m_EndsAt && !m_Fault.m_IsHanging)
      DueRuns.emplace_back(
          Active.first, drawFault(m_Fault.m_FailureRatio) ? "failed" : "done");
  }
  for (const auto &DueRun : DueRuns)
    finish(DueRun.first, DueRun.second);
}

void RunnerStandin::loseRuns() {
  for (const auto &Active : m_ActiveRuns)
    m_Observer.ended(makeObservedRun(Active.first, Active.second), "lost");
  m_ActiveRuns.clear();
}

HttpRequest RunnerStandin::makeHeartbeat() {
  Json Body{
      {"service", m_Options.m_Service},
      {"address", m_Options.m_AnnouncedAddress.empty()
                      ? m_Options.m_Listen
                      : m_Options.m_AnnouncedAddress},
      {"state", m_IsDraining ? "draining" : "ready"},
      {"capacity", {{"cpu", MilliCores}, {"mem-mb", MemoryMb}, {"gpu", 0}}},
      {"labels", {"a", "r1"}},
      {"clock-ms", toMilliseconds(clock())},
      {"born", toMilliseconds(m_StartedAt)},
      {"sequence", ++m_HeartbeatSequence}};
  if (m_IsDraining)
    Body["remaining-ms"] = toMilliseconds(m_Departure.m_DrainTime);
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url =
      "http://" + m_Options.m_Agent + "/Instances.Heartbeat/" + m_Options.m_Id;
  Request.m_Body = Body.dump();
  return Request;
}

/// Whether the heartbeat was acknowledged.
bool RunnerStandin::sendHeartbeat(std::unique_lock<std::mutex> &Lock) {
  HttpRequest Request = makeHeartbeat();
  Lock.unlock();
  bool IsAcknowledged =
      sendHttpRequest(Request, HeartbeatTimeout).m_Status == HttpOk;
  Lock.lock();
  return IsAcknowledged;
}

void RunnerStandin::sendHeartbeats() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  TimePoint DrainsUntil = TimePoint::max();
  while (!m_IsShuttingDown && Clock::now() < DrainsUntil) {
    bool AnnouncesDraining = m_IsDraining;
    bool IsAcknowledged = sendHeartbeat(Lock);
    bool IsFirstAcknowledgement =
        AnnouncesDraining && IsAcknowledged && DrainsUntil == TimePoint::max();
    if (IsFirstAcknowledgement) {
      DrainsUntil = Clock::now() + m_Departure.m_DrainTime;
      m_Observer.leaving(m_Options.m_Id);
    }
    TimePoint NextAt = std::min(Clock::now() + HeartbeatPeriod, DrainsUntil);
    m_StateChanged.wait_until(Lock, NextAt, [this, AnnouncesDraining] {
      return m_IsShuttingDown || m_IsDraining != AnnouncesDraining;
    });
  }
  if (m_IsShuttingDown)
    return;
  deregister(Lock);
  end(Lock);
}

void RunnerStandin::deregister(std::unique_lock<std::mutex> &Lock) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url =
      "http://" + m_Options.m_Agent + "/Instances.Deregister/" + m_Options.m_Id;
  Request.m_Body = Json{{"born", toMilliseconds(m_StartedAt)}}.dump();
  Lock.unlock();
  bool IsAnswered =
      sendHttpRequest(Request, HeartbeatTimeout).m_Status == HttpOk;
  Lock.lock();
  if (!IsAnswered || m_Departure.m_LosesAnswer)
    m_StateChanged.wait_for(Lock, m_Departure.m_ExtraTime,
                            [this] { return m_IsShuttingDown; });
}

void RunnerStandin::end(std::unique_lock<std::mutex> &Lock) {
  m_IsShuttingDown = true;
  loseRuns();
  m_StateChanged.notify_all();
  Lock.unlock();
  m_Server.stop(seconds(1));
  m_Options.m_HandleEnd();
  Lock.lock();
}

} // namespace cyclamenwalk
