#include "soak/soak.h"

#include "http/blockinghttp.h"
#include "soak/faultplan.h"

#include <atomic>
#include <csignal>
#include <map>
#include <sstream>
#include <thread>

namespace cyclamenwalk {

namespace {

constexpr Duration ReadyTimeout = seconds(20);
/// The platform's guarantees: a new configuration is in force within 2 s, and
/// service recovers within 12 s after faults.
constexpr Duration ConfigurationTimeout = seconds(2);
constexpr Duration RecoveryTimeout = seconds(12);
constexpr Duration MeasurementLength = seconds(4);
constexpr Duration ProbePeriod = milliseconds(300);
constexpr Duration ProbeTimeout = seconds(1);
constexpr Duration LinkDelay = milliseconds(120);
constexpr Duration LateOrderDelay = milliseconds(900);
constexpr double RunnerFaultRatio = 0.5;
/// Minimum ratio of completed to sent jobs after the recovery.
constexpr double MinCompletedRatio = 0.8;
constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpUnavailable = 503;

/// Generates a fault plan and carries it out on a fleet.
class FaultInjector {
public:
  FaultInjector(const SoakOptions &Options, Fleet &TestFleet,
                SoakCallers &Callers, SoakChecker &Checker)
      : m_Options(Options), m_Fleet(TestFleet), m_Callers(Callers),
        m_Checker(Checker) {}

  std::vector<std::string> run() {
    std::vector<ScheduledFault> Plan =
        generateFaultPlan({m_Fleet.entries(), m_Fleet.agents(),
                           m_Options.m_Length, m_Options.m_Seed});
    std::multimap<Duration, std::function<void()>> Actions;
    std::vector<std::string> Descriptions;
    for (const ScheduledFault &Fault : Plan) {
      Actions.emplace(Fault.m_Start, [this, Fault] { startFault(Fault); });
      Actions.emplace(Fault.end(), [this, Fault] { endFault(Fault); });
      Descriptions.push_back(describe(Fault));
    }
    TimePoint Start = Clock::now();
    for (const auto &Action : Actions) {
      std::this_thread::sleep_for(Start + Action.first - Clock::now());
      Action.second();
    }
    return Descriptions;
  }

  /// Writes the next version of the configuration; false when the store refuses
  /// it.
  bool changeConfiguration() {
    bool IsWritten = m_Fleet.writeConfiguration(m_Version + 1);
    if (IsWritten)
      ++m_Version;
    return IsWritten;
  }

  std::uint64_t version() const { return m_Version; }

  int restarts(const std::string &Process) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto It = m_Restarts.find(Process);
    return It == m_Restarts.end() ? 0 : It->second;
  }

private:
  static std::string describe(const ScheduledFault &Fault) {
    std::ostringstream Text;
    Text << toMilliseconds(Fault.m_Start) << " to "
         << toMilliseconds(Fault.end()) << " ms: " << nameOf(Fault.m_Kind)
         << " " << Fault.m_Target;
    return Text.str();
  }

  static int processIndex(const std::string &Process) {
    return std::stoi(Process.substr(Process.find('-') + 1));
  }

  static bool isEntry(const std::string &Process) {
    return Process.rfind("entry-", 0) == 0;
  }

  RunnerStandin &runner(const ScheduledFault &Fault) {
    return m_Fleet.runner(processIndex(Fault.m_Target));
  }

  void setProxyFault(const std::string &Process, const ProxyFault &Fault) {
    for (FaultProxy *Proxy : m_Fleet.proxiesOf(Process))
      Proxy->setFault(Fault);
  }

  void setRunnerFault(const ScheduledFault &Fault,
                      const RunnerFault &NewFault) {
    runner(Fault).setFault(NewFault, m_Options.m_Seed);
  }

  void startFault(const ScheduledFault &Fault) {
    if (!isMaintenance(Fault.m_Kind))
      m_HasInjectedFailure = true;
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
    case FaultKind::RunnerLeave:
      return runner(Fault).leave();
    case FaultKind::KillProcess:
      return m_Fleet.kill(Target);
    case FaultKind::PauseProcess:
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
    case FaultKind::BlackholeConnections:
      return disturbConnections(Fault);
    case FaultKind::RunnerCrash:
      return;
    case FaultKind::RunnerFailures:
      return setRunnerFault(Fault, {RunnerFaultRatio, 0, {}, false});
    case FaultKind::RunnerHang:
      return setRunnerFault(Fault, {0, 0, {}, true});
    case FaultKind::RunnerDelay:
      return setRunnerFault(Fault,
                            {0, RunnerFaultRatio, LateOrderDelay, false});
    case FaultKind::StoreDown:
      return m_Fleet.setStoreFault("down");
    case FaultKind::StoreSlow:
      return m_Fleet.setStoreFault("slow");
    case FaultKind::StoreReplyLost:
      return m_Fleet.setStoreFault("reply_lost");
    case FaultKind::Count:
      return;
    }
  }

  void endFault(const ScheduledFault &Fault) {
    const std::string &Target = Fault.m_Target;
    switch (Fault.m_Kind) {
    case FaultKind::StopProcess:
      if (m_Fleet.wait(Target, Duration::zero()) < 0 && !m_HasInjectedFailure)
        m_Checker.reportViolation(
            Target + " still ran " +
            std::to_string(toMilliseconds(Fault.m_Length)) +
            " ms after SIGTERM");
      m_Fleet.kill(Target);
      restart(Target);
      if (isEntry(Target))
        m_Callers.setGracefulStop(processIndex(Target), false);
      return;
    case FaultKind::KillProcess:
      return restart(Target);
    case FaultKind::PauseProcess:
    case FaultKind::StorePaused:
      return m_Fleet.signal(Target, SIGCONT);
    case FaultKind::DelayTraffic:
    case FaultKind::BlockInbound:
    case FaultKind::BlockOutbound:
    case FaultKind::BlockBothWays:
      return setProxyFault(Target, {});
    case FaultKind::RunnerLeave:
    case FaultKind::RunnerCrash:
      m_Fleet.restartRunner(processIndex(Target));
      return m_Checker.recordReturn("i-" +
                                    std::to_string(processIndex(Target)));
    case FaultKind::RunnerFailures:
    case FaultKind::RunnerHang:
    case FaultKind::RunnerDelay:
      return setRunnerFault(Fault, {});
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreReplyLost:
      return m_Fleet.setStoreFault("none");
    default:
      return;
    }
  }

  void restart(const std::string &Process) {
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      ++m_Restarts[Process];
    }
    m_Fleet.start(Process);
  }

  void disturbConnections(const ScheduledFault &Fault) {
    for (FaultProxy *Proxy : m_Fleet.proxiesOf(Fault.m_Target)) {
      if (Fault.m_Kind == FaultKind::ResetConnections)
        Proxy->resetConnections();
      else
        Proxy->blackholeConnections();
    }
  }

  const SoakOptions &m_Options;
  Fleet &m_Fleet;
  SoakCallers &m_Callers;
  SoakChecker &m_Checker;
  bool m_HasInjectedFailure = false;
  std::atomic<std::uint64_t> m_Version = 1;
  mutable std::mutex m_Mutex;
  std::map<std::string, int> m_Restarts;
};

/// Polls the entries for the routes of the last two configuration versions.
class RouteMonitor {
public:
  RouteMonitor(const Fleet &TestFleet, const FaultInjector &Injector,
               SoakChecker &Checker)
      : m_Fleet(TestFleet), m_Injector(Injector), m_Checker(Checker),
        m_Thread([this] { run(); }) {}

  ~RouteMonitor() {
    m_IsStopped = true;
    m_Thread.join();
  }

  int probeRoute(int Entry, std::uint64_t Version) const {
    HttpRequest Request;
    Request.m_Url = "http://" + m_Fleet.callAddress(Entry) + "/v" +
                    std::to_string(Version) + "/";
    return sendHttpRequest(Request, ProbeTimeout).m_Status;
  }

private:
  void run() {
    while (!m_IsStopped) {
      for (int Entry = 0; Entry < m_Fleet.options().m_EntryCount; ++Entry)
        probeVersions(Entry);
      std::this_thread::sleep_for(ProbePeriod);
    }
  }

  void probeVersions(int Entry) {
    std::uint64_t Newest = m_Injector.version();
    for (std::uint64_t Version = Newest; Version + 2 > Newest && Version > 0;
         --Version) {
      std::string Process = "entry-" + std::to_string(Entry);
      int Restarts = m_Injector.restarts(Process);
      int Status = probeRoute(Entry, Version);
      bool IsSameProcess = Restarts == m_Injector.restarts(Process);
      if (IsSameProcess && (Status == HttpOk || Status == HttpNotFound))
        m_Checker.recordRoute(Process + " restart " + std::to_string(Restarts),
                              Version, Status == HttpOk);
    }
  }

  const Fleet &m_Fleet;
  const FaultInjector &m_Injector;
  SoakChecker &m_Checker;
  std::atomic<bool> m_IsStopped = false;
  std::thread m_Thread;
};

/// Checks that a new configuration comes into force and that jobs are completed
/// once all faults are over.
void checkRecovery(const SoakOptions &Options, const Fleet &TestFleet,
                   FaultInjector &Injector, const RouteMonitor &Monitor,
                   SoakChecker &Checker) {
  if (!Injector.changeConfiguration())
    Checker.reportViolation(
        "after the faults, the store refused configuration version " +
        std::to_string(Injector.version() + 1));
  std::this_thread::sleep_for(RecoveryTimeout);
  if (!TestFleet.waitUntilReady(ConfigurationTimeout))
    Checker.reportViolation(
        "not all entries are ready " +
        std::to_string(toMilliseconds(RecoveryTimeout + ConfigurationTimeout)) +
        " ms after the faults");
  for (int Entry = 0; Entry < Options.m_Fleet.m_EntryCount; ++Entry) {
    int Status = Monitor.probeRoute(Entry, Injector.version());
    if (Status != HttpOk)
      Checker.reportViolation(
          "after the faults, entry-" + std::to_string(Entry) +
          " answered the route of configuration version " +
          std::to_string(Injector.version()) + " with status " +
          std::to_string(Status) + " instead of 200");
  }
  std::size_t CompletedBefore = Checker.answers(HttpOk);
  std::this_thread::sleep_for(MeasurementLength);
  double SentJobs = Options.m_Callers.m_JobsPerSecond *
                    static_cast<double>(toMilliseconds(MeasurementLength)) /
                    1000 * (1 - Options.m_Callers.m_DisconnectRatio);
  auto Completed =
      static_cast<double>(Checker.answers(HttpOk) - CompletedBefore);
  if (Completed < MinCompletedRatio * SentJobs)
    Checker.reportViolation("after the faults, " + std::to_string(Completed) +
                            " jobs completed; at least " +
                            std::to_string(MinCompletedRatio * SentJobs) +
                            " of " + std::to_string(SentJobs) +
                            " were expected");
}

} // namespace

SoakResult runSoak(const SoakOptions &Options) {
  SoakResult Result;
  SoakChecker Checker;
  {
    Fleet TestFleet(Options.m_Fleet, Checker);
    Result.m_LogFolder = TestFleet.logFolder();
    if (!TestFleet.waitUntilReady(ReadyTimeout))
      Checker.reportViolation("not all entries are ready " +
                              std::to_string(toMilliseconds(ReadyTimeout)) +
                              " ms after the start");
    CallerOptions LoadOptions = Options.m_Callers;
    LoadOptions.m_Seed = Options.m_Seed;
    SoakCallers Callers(TestFleet, Checker, LoadOptions);
    FaultInjector Injector(Options, TestFleet, Callers, Checker);
    RouteMonitor Monitor(TestFleet, Injector, Checker);
    if (Options.m_IsFaultFree)
      std::this_thread::sleep_for(Options.m_Length);
    else
      Result.m_Faults = Injector.run();
    if (!Options.m_IsFaultFree)
      checkRecovery(Options, TestFleet, Injector, Monitor, Checker);
    Callers.stop();
  }
  Result.m_Violations = Checker.violations();
  Result.m_Completed = Checker.answers(HttpOk);
  Result.m_Refused = Checker.answers(HttpUnavailable);
  Result.m_Unanswered = Checker.answers(0);
  Result.m_TaskStarts = Checker.starts();
  return Result;
}

std::string describe(const SoakOptions &Options, const SoakResult &Result) {
  std::ostringstream Text;
  Text << "seed " << Options.m_Seed << ": "
       << (Result.m_Violations.empty() ? "guarantees held"
                                       : "guarantees VIOLATED")
       << ", " << Result.m_Faults.size() << " faults, " << Result.m_Completed
       << " answered 200, " << Result.m_Refused << " refused, "
       << Result.m_Unanswered << " without an answer, " << Result.m_TaskStarts
       << " task starts\n";
  if (Result.m_Violations.empty())
    return Text.str();
  for (const std::string &Line : Result.m_Violations)
    Text << "  " << Line << "\n";
  for (const std::string &Line : Result.m_Faults)
    Text << "  fault " << Line << "\n";
  Text << "  logs in " << Result.m_LogFolder << "\n";
  return Text.str();
}

} // namespace cyclamenwalk
