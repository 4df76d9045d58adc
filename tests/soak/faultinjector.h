#ifndef CYCLAMENWALK_TESTS_SOAK_FAULTINJECTOR_H
#define CYCLAMENWALK_TESTS_SOAK_FAULTINJECTOR_H

#include "soak/faultplan.h"
#include "soak/fleet.h"
#include "soak/soakcallers.h"
#include "soak/soakchecker.h"
#include "support/crowd.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Carries out a fault plan on a fleet.
class FaultInjector {
public:
  FaultInjector(std::vector<ScheduledFault> Plan, std::uint32_t Seed,
                Fleet &TestFleet, SoakCallers &Callers, SoakChecker &Checker);

  /// Returns a description of each fault, in order.
  std::vector<std::string> run();

  /// Writes the next version of the configuration; false when the store refuses
  /// it.
  bool changeConfiguration();

  std::uint64_t version() const { return m_Version; }

  int restarts(const std::string &Process) const;

private:
  using Actions = std::multimap<Duration, std::function<void()>>;

  void addRepetitions(const ScheduledFault &Fault, Actions &Timeline);
  Duration drawDuration(Duration Min, Duration Max);
  bool drawChance();
  RunnerStandin &runner(const ScheduledFault &Fault);
  void setProxyFault(const std::string &Process, const ProxyFault &Fault);
  void setRunnerFault(const ScheduledFault &Fault, const RunnerFault &NewFault);
  void startFault(const ScheduledFault &Fault);
  void startRunnerFault(const ScheduledFault &Fault);
  void startCallFault(const ScheduledFault &Fault);
  void startHostileClients(const ScheduledFault &Fault);
  void startStoreFault(const ScheduledFault &Fault);
  void endFault(const ScheduledFault &Fault);
  void endStop(const ScheduledFault &Fault);
  void endRunnerFault(const ScheduledFault &Fault);
  void restart(const std::string &Process);
  void resetConnections(const std::string &Process);
  void sendForeignHeartbeat(const std::string &Agent);

  const std::vector<ScheduledFault> m_Plan;
  const std::uint32_t m_Seed;
  Fleet &m_Fleet;
  SoakCallers &m_Callers;
  SoakChecker &m_Checker;
  std::mt19937 m_Random;
  bool m_HasInjectedFailure = false;
  std::map<std::string, std::vector<std::unique_ptr<Crowd>>> m_Crowds;
  std::atomic<std::uint64_t> m_Version = 1;
  mutable std::mutex m_Mutex;
  std::map<std::string, int> m_Restarts;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_FAULTINJECTOR_H
