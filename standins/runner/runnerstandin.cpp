#include "runner/runnerstandin.h"

#include "http/blockinghttp.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr Duration TimerStep = milliseconds(5);
constexpr Duration HeartbeatPeriod = milliseconds(500);
constexpr Duration LongestLease = milliseconds(1000);
constexpr int HttpOk = 200;
constexpr int HttpConflict = 409;

HttpResponse respond(int Status, const Json &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Body.dump();
  return Response;
}

} // namespace

void RunWatch::started(const ObservedRun &Run) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Starts;
  if (++m_Running[Run.m_Task] > 1)
    ++m_Overlaps;
}

void RunWatch::ended(const ObservedRun &Run, const std::string &) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  --m_Running[Run.m_Task];
}

int RunWatch::overlaps() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Overlaps;
}

int RunWatch::starts() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Starts;
}

RunnerStandin::RunnerStandin(RunnerForm Form, IRunObserver &Watch)
    : m_Form(std::move(Form)), m_Watch(Watch), m_Server({m_Form.m_Listen}) {
  m_Server.route("POST", "/run-start",
                 [this](const HttpRequest &R) { return start(R); });
  m_Server.route("POST", "/run-stop",
                 [this](const HttpRequest &R) { return stop(R); });
  m_Server.route("POST", "/hold",
                 [this](const HttpRequest &R) { return hold(R); });
  m_Server.start();
  m_Timer = std::thread([this] { runTimes(); });
  m_Heartbeats = std::thread([this] { beat(); });
}

RunnerStandin::~RunnerStandin() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsEnding = true;
  }
  m_Changed.notify_all();
  m_Timer.join();
  m_Heartbeats.join();
  m_Server.stop(seconds(3));
  for (const auto &Known : m_Running)
    m_Watch.ended(observed(Known.first, Known.second), "lost");
}

void RunnerStandin::setFault(const RunnerFault &Fault, std::uint32_t Seed) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Fault = Fault;
  m_Random.seed(Seed);
}

void RunnerStandin::leave() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsLeaving = true;
  m_Changed.notify_all();
}

bool RunnerStandin::isHit(double Share) {
  return std::uniform_real_distribution<double>()(m_Random) < Share;
}

ObservedRun RunnerStandin::observed(const std::string &Task,
                                    const Run &Known) const {
  return {m_Form.m_Id, Task, Known.m_Number, Known.m_Spec};
}

std::int64_t RunnerStandin::clock() const {
  return toMilliseconds(Clock::now() - m_InstanceStartedAt);
}

bool RunnerStandin::takeToken(std::uint64_t Token) {
  m_Token = std::max(m_Token, Token);
  return Token == m_Token;
}

void RunnerStandin::extendLease(std::int64_t UntilClock) {
  TimePoint Until = m_InstanceStartedAt + milliseconds(UntilClock);
  m_LeaseUntil =
      std::max(m_LeaseUntil, std::min(Until, Clock::now() + LongestLease));
}

HttpResponse RunnerStandin::start(const HttpRequest &Request) {
  Json Body = Json::parse(Request.m_Body);
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (isHit(m_Fault.m_LateShare))
    m_Changed.wait_for(Lock, m_Fault.m_Late, [this] { return m_IsEnding; });
  Json Told{{"clock-ms", clock()}};
  std::string Task = Body.at("task");
  std::uint32_t Number = Body.at("run");
  if (!takeToken(Body.at("fencing-token"))) {
    Told["reason"] = "fence";
    return respond(HttpConflict, Told);
  }
  if (Number <= m_Highest[Task] || m_Running.count(Task) > 0) {
    Told["reason"] = "old";
    return respond(HttpConflict, Told);
  }
  extendLease(Body.at("deadline-ms"));
  TimePoint Now = Clock::now();
  std::string Spec = Body.at("spec");
  Run &Added = m_Running[Task];
  Added = {Number, Spec, Now, Now + milliseconds(std::stoi(Spec))};
  m_Watch.started(observed(Task, Added));
  return respond(200, Told);
}

HttpResponse RunnerStandin::stop(const HttpRequest &Request) {
  Json Body = Json::parse(Request.m_Body);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::string Task = Body.at("task");
  bool IsMeant = takeToken(Body.at("fencing-token")) &&
                 m_Running.count(Task) > 0 &&
                 m_Running[Task].m_Number == Body.at("run");
  if (IsMeant)
    finish(Task, "stopped");
  return respond(200, {{"clock-ms", clock()}});
}

HttpResponse RunnerStandin::hold(const HttpRequest &Request) {
  Json Body = Json::parse(Request.m_Body);
  std::unique_lock<std::mutex> Lock(m_Mutex);
  if (!takeToken(Body.at("fencing-token")))
    return respond(HttpConflict, {{"clock-ms", clock()}, {"reason", "fence"}});
  if (Body.contains("deadline-ms"))
    extendLease(Body["deadline-ms"]);
  std::uint64_t Seen = Body.at("last-seen");
  std::erase_if(m_Ended,
                [Seen](const End &Known) { return Known.m_Number <= Seen; });
  if (isHit(m_Fault.m_LateShare))
    m_Changed.wait_for(Lock, m_Fault.m_Late, [this] { return m_IsEnding; });
  m_Changed.wait_for(Lock, milliseconds(Body.value("wait-ms", 0)),
                     [this] { return m_IsEnding || !m_Ended.empty(); });
  Json Running = Json::array();
  for (const auto &Known : m_Running) {
    auto Whole = Known.second.m_EndsAt - Known.second.m_StartedAt;
    auto Done = Clock::now() - Known.second.m_StartedAt;
    auto Percent = Done * 100 / std::max<Duration>(Whole, Duration(1));
    Running.push_back({Known.first, Known.second.m_Number, "",
                       m_Fault.m_IsHanging ? 0 : Percent});
  }
  Json Ended = Json::array();
  for (const End &Known : m_Ended)
    Ended.push_back(
        {Known.m_Number, Known.m_Task, Known.m_Run, Known.m_RunOutcome, ""});
  return respond(200, {{"clock-ms", clock()},
                       {"born", m_Born},
                       {"running", Running},
                       {"finished", Ended}});
}

void RunnerStandin::finish(const std::string &Task, const char *How) {
  Run Over = m_Running.at(Task);
  m_Running.erase(Task);
  m_Highest[Task] = Over.m_Number;
  m_Ended.push_back({++m_LastEndNumber, Task, Over.m_Number, How});
  m_Watch.ended(observed(Task, Over), How);
  m_Changed.notify_all();
}

void RunnerStandin::runTimes() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (!m_IsEnding) {
    m_Changed.wait_for(Lock, TimerStep);
    endDue(Clock::now());
  }
}

void RunnerStandin::endDue(TimePoint Now) {
  std::vector<std::pair<std::string, const char *>> Due;
  for (const auto &Known : m_Running) {
    if (Now >= m_LeaseUntil)
      Due.emplace_back(Known.first, "lapsed");
    else if (Now >= Known.second.m_EndsAt && !m_Fault.m_IsHanging)
      Due.emplace_back(Known.first,
                       isHit(m_Fault.m_FailShare) ? "failed" : "done");
  }
  for (const auto &Known : Due)
    finish(Known.first, Known.second);
}

void RunnerStandin::beat() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (!m_IsEnding) {
    HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Url =
        "http://" + m_Form.m_Agent + "/Instances.Heartbeat/" + m_Form.m_Id;
    Request.m_Body = Json{
        {"service", m_Form.m_Service},
        {"address",
         m_Form.m_Announced.empty() ? m_Form.m_Listen : m_Form.m_Announced},
        {"state", m_IsLeaving ? "draining" : "ready"},
        {"capacity", {{"cpu", MilliCores}, {"mem-mb", 32768}, {"gpu", 0}}},
        {"labels", {"a", "r1"}},
        {"clock-ms", clock()},
        {"born", m_Born},
        {"sequence",
         ++m_Sequence}}.dump();
    bool SaysItLeaves = m_IsLeaving;
    Lock.unlock();
    bool IsHeard = callHttp(Request, seconds(1)).m_Status == HttpOk;
    if (SaysItLeaves && IsHeard)
      m_Watch.leaving(m_Form.m_Id);
    Lock.lock();
    m_Changed.wait_for(Lock, HeartbeatPeriod, [this, SaysItLeaves] {
      return m_IsEnding || m_IsLeaving != SaysItLeaves;
    });
  }
}

} // namespace cyclamenwalk
