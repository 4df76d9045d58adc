#include "soak/faultinjector.h"

#include <csignal>
#include <sstream>
#include <thread>

namespace cyclamenwalk {

namespace {

constexpr Duration LinkDelay = milliseconds(120);
constexpr Duration LateOrderDelay = milliseconds(900);
constexpr double RunnerFaultRatio = 0.5;
constexpr double LossRatio = 0.2;
constexpr double LateRatio = 0.15;
constexpr Duration MinLateDelay = milliseconds(50);
constexpr Duration MaxLateDelay = milliseconds(2500);
/// New connections are refused for this time after a reset or a lost answer.
constexpr Duration MinRefusalTime = milliseconds(2);
constexpr Duration MaxRefusalTime = milliseconds(20);
/// Between the resets of a series.
constexpr Duration MinResetGap = milliseconds(2);
constexpr Duration MaxResetGap = milliseconds(10);
constexpr Duration HeartbeatGap = milliseconds(150);
constexpr Duration MaxDrainExtension = milliseconds(500);
constexpr Duration MinDrainTime = milliseconds(2000);

/// Of each kind of hostile client.
constexpr std::size_t HostileCrowdSize = 20;
constexpr std::size_t LargestBody = 262144;
/// Other faults wait for this time.
constexpr Duration MaxHostileSendTime = milliseconds(60);
/// The opening of a PUSH socket of nng over TCP.
const std::string PushGreeting("\0SP\0\0\x50\0\0", 8);

int processIndex(const std::string &Process) {
  return std::stoi(Process.substr(Process.find('-') + 1));
}

bool isEntry(const std::string &Process) {
  return Process.rfind("entry-", 0) == 0;
}

std::string runnerName(const ScheduledFault &Fault) {
  return "i-" + std::to_string(processIndex(Fault.m_Target));
}

std::string describe(const ScheduledFault &Fault) {
  std::ostringstream Text;
  Text << toMilliseconds(Fault.m_Start) << " to " << toMilliseconds(Fault.end())
       << " ms: " << nameOf(Fault.m_Kind) << " " << Fault.m_Target;
  return Text.str();
}

/// Whether the rules on cancelled jobs count the fault as a disruption.
bool isDisruption(FaultKind Kind) {
  return Kind != FaultKind::ChangeConfiguration &&
         Kind != FaultKind::RunnerLeave &&
         Kind != FaultKind::RunnerLeaveUnanswered;
}

} // namespace

FaultInjector::FaultInjector(std::vector<ScheduledFault> Plan,
                             std::uint32_t Seed, Fleet &TestFleet,
                             SoakCallers &Callers, SoakChecker &Checker)
    : m_Plan(std::move(Plan)), m_Seed(Seed), m_Fleet(TestFleet),
      m_Callers(Callers), m_Checker(Checker), m_Random(Seed) {}

std::vector<std::string> FaultInjector::run() {
  Actions Timeline;
  std::vector<std::string> Descriptions;
  for (const ScheduledFault &Fault : m_Plan) {
    Timeline.emplace(Fault.m_Start, [this, Fault] { startFault(Fault); });
    addRepetitions(Fault, Timeline);
    Timeline.emplace(Fault.end(), [this, Fault] { endFault(Fault); });
    Descriptions.push_back(describe(Fault));
  }
  TimePoint Start = Clock::now();
  for (const auto &Action : Timeline) {
    std::this_thread::sleep_for(Start + Action.first - Clock::now());
    Action.second();
  }
  return Descriptions;
}

void FaultInjector::addRepetitions(const ScheduledFault &Fault,
                                   Actions &Timeline) {
  bool IsSeries = Fault.m_Kind == FaultKind::ResetSeries;
  if (!IsSeries && Fault.m_Kind != FaultKind::ForeignHeartbeat)
    return;
  for (Duration At = Fault.m_Start; At < Fault.end();
       At += IsSeries ? drawDuration(MinResetGap, MaxResetGap) : HeartbeatGap)
    Timeline.emplace(At, [this, IsSeries, Target = Fault.m_Target] {
      if (IsSeries)
        resetConnections(Target);
      else
        sendForeignHeartbeat(Target);
    });
}

bool FaultInjector::changeConfiguration() {
  bool IsWritten = m_Fleet.writeConfiguration(m_Version + 1);
  if (IsWritten)
    ++m_Version;
  return IsWritten;
}

int FaultInjector::restarts(const std::string &Process) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Restarts.find(Process);
  return It == m_Restarts.end() ? 0 : It->second;
}

Duration FaultInjector::drawDuration(Duration Min, Duration Max) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(
      toMilliseconds(Min), toMilliseconds(Max))(m_Random));
}

bool FaultInjector::drawChance() {
  return std::bernoulli_distribution(0.6)(m_Random);
}

RunnerStandin &FaultInjector::runner(const ScheduledFault &Fault) {
  return m_Fleet.runner(processIndex(Fault.m_Target));
}

void FaultInjector::setProxyFault(const std::string &Process,
                                  const ProxyFault &Fault) {
  for (FaultProxy *Proxy : m_Fleet.proxiesOf(Process))
    Proxy->setFault(Fault, m_Seed);
}

void FaultInjector::setRunnerFault(const ScheduledFault &Fault,
                                   const RunnerFault &NewFault) {
  runner(Fault).setFault(NewFault, m_Seed);
}

void FaultInjector::startFault(const ScheduledFault &Fault) {
  if (!isMaintenance(Fault.m_Kind))
    m_HasInjectedFailure = true;
  if (isDisruption(Fault.m_Kind))
    m_Checker.recordDisruption(Clock::now(), Clock::now() + Fault.m_Length);
  const std::string &Target = Fault.m_Target;
  switch (Fault.m_Kind) {
  case FaultKind::StopProcess:
    if (isEntry(Target) && !m_HasInjectedFailure)
      m_Callers.setGracefulStop(processIndex(Target), true);
    return m_Fleet.signal(Target, SIGTERM);
  case FaultKind::ChangeConfiguration:
    // If the write fails, the next change writes the same version again.
    changeConfiguration();
    return;
  case FaultKind::KillProcess:
    return m_Fleet.kill(Target);
  case FaultKind::PauseProcess:
  case FaultKind::PauseAroundLease:
  case FaultKind::StorePaused:
    return m_Fleet.signal(Target, SIGSTOP);
  case FaultKind::DelayTraffic:
    return setProxyFault(Target, {LinkDelay, false, false});
  case FaultKind::BlockInbound:
    return setProxyFault(Target, {{}, true, false});
  case FaultKind::BlockOutbound:
    return setProxyFault(Target, {{}, false, true});
  case FaultKind::BlockBothWays:
    return setProxyFault(Target, {{}, true, true});
  case FaultKind::ResetConnections:
    return resetConnections(Target);
  case FaultKind::BlackholeConnections:
    for (FaultProxy *Proxy : m_Fleet.proxiesOf(Target))
      Proxy->blackholeConnections();
    return;
  default:
    startRunnerFault(Fault);
    startCallFault(Fault);
    startStoreFault(Fault);
    startHostileClients(Fault);
  }
}

void FaultInjector::startRunnerFault(const ScheduledFault &Fault) {
  Duration DrainTime = MinDrainTime;
  switch (Fault.m_Kind) {
  case FaultKind::RunnerLeave:
    DrainTime += drawDuration(Duration::zero(), MaxDrainExtension);
    return runner(Fault).leave({DrainTime, false, {}});
  case FaultKind::RunnerLeaveUnanswered:
    DrainTime += drawDuration(Duration::zero(), MaxDrainExtension);
    return runner(Fault).leave({DrainTime, true, seconds(3)});
  case FaultKind::RunnerCrash:
    return m_Fleet.crashRunner(processIndex(Fault.m_Target), drawChance());
  case FaultKind::RunnerFailures:
    return setRunnerFault(Fault, {RunnerFaultRatio, 0, {}, false});
  case FaultKind::RunnerHang:
    return setRunnerFault(Fault, {0, 0, {}, true});
  case FaultKind::RunnerDelay:
    return setRunnerFault(Fault, {0, RunnerFaultRatio, LateOrderDelay, false});
  default:
    return;
  }
}

void FaultInjector::startCallFault(const ScheduledFault &Fault) {
  ProxyFault Disturbed;
  switch (Fault.m_Kind) {
  case FaultKind::LoseAnswers:
  case FaultKind::CloseConnections:
    Disturbed.m_LossRatio = LossRatio;
    Disturbed.m_ClosesInOrder = Fault.m_Kind == FaultKind::CloseConnections;
    Disturbed.m_RefusalTime = drawDuration(Duration::zero(), MaxRefusalTime);
    return setProxyFault(Fault.m_Target, Disturbed);
  case FaultKind::LateCalls:
    Disturbed.m_LateRatio = LateRatio;
    Disturbed.m_LateDelay = drawDuration(MinLateDelay, MaxLateDelay);
    return setProxyFault(Fault.m_Target, Disturbed);
  default:
    return;
  }
}

void FaultInjector::startStoreFault(const ScheduledFault &Fault) {
  if (Fault.m_Kind == FaultKind::StoreDown)
    m_Fleet.setStoreFault("down");
  else if (Fault.m_Kind == FaultKind::StoreSlow)
    m_Fleet.setStoreFault("slow");
  else if (Fault.m_Kind == FaultKind::StoreReplyLost)
    m_Fleet.setStoreFault("reply_lost");
}

void FaultInjector::startHostileClients(const ScheduledFault &Fault) {
  if (Fault.m_Kind != FaultKind::HostileClients)
    return;
  std::string Path = isEntry(Fault.m_Target) ? "/q/00000000000000f1"
                                             : "/Instances.Heartbeat/x";
  std::string Head = "POST " + Path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  int Calls = m_Fleet.callPort(Fault.m_Target);
  int Messages = m_Fleet.messagePort(Fault.m_Target);
  std::string Length = "Content-Length: " + std::to_string(LargestBody);
  std::string Body(LargestBody - 1, 'x');
  std::string OneByteLengths(7, '\0');
  const std::vector<std::pair<int, CrowdScript>> Scripts{
      {Calls, {}},
      {Calls, {Head, "", 0, "", {}}},
      {Calls, {Head + Length + "\r\n\r\n", Body, 1, "", {}}},
      {Calls,
       {Head + "Transfer-Encoding: chunked\r\n\r\n",
        "1\r\nx\r\n",
        10000,
        "",
        {}}},
      {Messages, {PushGreeting, "", 0, "", {}}},
      {Messages,
       {PushGreeting + OneByteLengths + "\1",
        "x" + OneByteLengths + "\1",
        100,
        "",
        {}}},
      {Messages, {Body, "", 0, "", {}}}};
  auto &Crowds = m_Crowds[Fault.m_Target];
  for (const auto &[Port, Script] : Scripts) {
    Crowds.push_back(std::make_unique<Crowd>(Port, HostileCrowdSize, Script));
    Crowds.back()->run(MaxHostileSendTime / Scripts.size(),
                       [&Crowds] { return Crowds.back()->isSent(); });
  }
}

void FaultInjector::endFault(const ScheduledFault &Fault) {
  const std::string &Target = Fault.m_Target;
  switch (Fault.m_Kind) {
  case FaultKind::StopProcess:
    return endStop(Fault);
  case FaultKind::KillProcess:
    return restart(Target);
  case FaultKind::PauseProcess:
  case FaultKind::PauseAroundLease:
  case FaultKind::StorePaused:
    return m_Fleet.signal(Target, SIGCONT);
  case FaultKind::DelayTraffic:
  case FaultKind::BlockInbound:
  case FaultKind::BlockOutbound:
  case FaultKind::BlockBothWays:
  case FaultKind::LoseAnswers:
  case FaultKind::CloseConnections:
  case FaultKind::LateCalls:
    return setProxyFault(Target, {});
  case FaultKind::StoreDown:
  case FaultKind::StoreSlow:
  case FaultKind::StoreReplyLost:
    return m_Fleet.setStoreFault("none");
  case FaultKind::HostileClients:
    m_Crowds.erase(Target);
    return;
  default:
    return endRunnerFault(Fault);
  }
}

void FaultInjector::endStop(const ScheduledFault &Fault) {
  const std::string &Target = Fault.m_Target;
  if (m_Fleet.wait(Target, Duration::zero()) < 0 && !m_HasInjectedFailure)
    m_Checker.reportViolation(Target + " still ran " +
                              std::to_string(toMilliseconds(Fault.m_Length)) +
                              " ms after SIGTERM");
  m_Fleet.kill(Target);
  restart(Target);
  if (isEntry(Target))
    m_Callers.setGracefulStop(processIndex(Target), false);
}

void FaultInjector::endRunnerFault(const ScheduledFault &Fault) {
  switch (Fault.m_Kind) {
  case FaultKind::RunnerLeave:
  case FaultKind::RunnerLeaveUnanswered:
  case FaultKind::RunnerCrash:
    m_Fleet.restartRunner(processIndex(Fault.m_Target));
    return m_Checker.recordReturn(runnerName(Fault));
  case FaultKind::RunnerFailures:
  case FaultKind::RunnerHang:
  case FaultKind::RunnerDelay:
    return setRunnerFault(Fault, {});
  default:
    return;
  }
}

void FaultInjector::restart(const std::string &Process) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    ++m_Restarts[Process];
  }
  m_Fleet.start(Process);
  m_Checker.recordDisruption(Clock::now(), Clock::now());
  if (isEntry(Process))
    m_Callers.recordRestart(processIndex(Process));
}

void FaultInjector::resetConnections(const std::string &Process) {
  Duration RefusalTime = drawDuration(MinRefusalTime, MaxRefusalTime);
  bool IsPortClosed = drawChance();
  for (FaultProxy *Proxy : m_Fleet.proxiesOf(Process))
    Proxy->resetConnections(RefusalTime, IsPortClosed);
}

void FaultInjector::sendForeignHeartbeat(const std::string &Agent) {
  constexpr int VariantCount = 6;
  int Variant =
      std::uniform_int_distribution<int>(0, VariantCount - 1)(m_Random);
  m_Fleet.sendForeignHeartbeat(processIndex(Agent),
                               static_cast<ForeignHeartbeat>(Variant));
}

} // namespace cyclamenwalk
