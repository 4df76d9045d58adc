#include "soak/soak.h"

#include "http/blockinghttp.h"
#include "soak/faultinjector.h"

#include <atomic>
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
/// Minimum ratio, after the recovery, of completed jobs to those sent whose
/// callers wait for them.
constexpr double MinCompletedRatio = 0.825;
constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpUnavailable = 503;

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
                   const SoakCallers &Callers, FaultInjector &Injector,
                   const RouteMonitor &Monitor, SoakChecker &Checker) {
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
  std::size_t AwaitedBefore = Callers.awaitedJobs();
  std::this_thread::sleep_for(MeasurementLength);
  auto Awaited = static_cast<double>(Callers.awaitedJobs() - AwaitedBefore);
  auto Completed =
      static_cast<double>(Checker.answers(HttpOk) - CompletedBefore);
  if (Completed < MinCompletedRatio * Awaited)
    Checker.reportViolation("after the faults, " + std::to_string(Completed) +
                            " jobs completed; at least " +
                            std::to_string(MinCompletedRatio * Awaited) +
                            " of " + std::to_string(Awaited) +
                            " were expected");
}

std::vector<ScheduledFault> planFaults(const SoakOptions &Options,
                                       const Fleet &TestFleet) {
  if (Options.m_IsFaultFree)
    return {};
  return generateFaultPlan({TestFleet.entries(), TestFleet.agents(),
                            Options.m_Length, Options.m_Seed,
                            Options.m_FaultGroups, Options.m_MeanFaultGap});
}

} // namespace

SoakResult runSoak(const SoakOptions &Options) {
  SoakResult Result;
  SoakChecker Checker;
  {
    Fleet TestFleet(Options.m_Fleet, Checker,
                    [&Checker](const ObservedRun &Run, CallFate Fate) {
                      Checker.recordOrder(Run, Fate);
                    });
    Result.m_LogFolder = TestFleet.logFolder();
    if (!TestFleet.waitUntilReady(ReadyTimeout))
      Checker.reportViolation("not all entries are ready " +
                              std::to_string(toMilliseconds(ReadyTimeout)) +
                              " ms after the start");
    CallerOptions LoadOptions = Options.m_Callers;
    LoadOptions.m_Seed = Options.m_Seed;
    SoakCallers Callers(TestFleet, Checker, LoadOptions);
    FaultInjector Injector(planFaults(Options, TestFleet), Options.m_Seed,
                           TestFleet, Callers, Checker);
    RouteMonitor Monitor(TestFleet, Injector, Checker);
    if (Options.m_IsFaultFree)
      std::this_thread::sleep_for(Options.m_Length);
    else
      Result.m_Faults = Injector.run();
    if (!Options.m_IsFaultFree && Options.m_ChecksRecovery)
      checkRecovery(Options, TestFleet, Callers, Injector, Monitor, Checker);
    Callers.stop();
    Checker.checkActiveRuns(Clock::now());
  }
  Result.m_Violations = Checker.violations();
  Result.m_Completed = Checker.answers(HttpOk);
  Result.m_Refused = Checker.answers(HttpUnavailable);
  Result.m_Unanswered = Checker.answers(0);
  Result.m_TaskStarts = Checker.starts();
  Result.m_Cancellations = Checker.cancellations();
  return Result;
}

std::string describe(const SoakOptions &Options, const SoakResult &Result) {
  std::ostringstream Text;
  Text << "seed " << Options.m_Seed << ": "
       << (Result.m_Violations.empty() ? "guarantees held"
                                       : "guarantees VIOLATED")
       << ", " << Result.m_Faults.size() << " faults, " << Result.m_Completed
       << " answered 200, " << Result.m_Refused << " refused, "
       << Result.m_Unanswered << " without an answer, "
       << Result.m_Cancellations << " cancelled, " << Result.m_TaskStarts
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
