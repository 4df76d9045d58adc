#ifndef CYCLAMENWALK_TESTS_SOAK_FAULTPLAN_H
#define CYCLAMENWALK_TESTS_SOAK_FAULTPLAN_H

#include "core/types/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

enum class FaultKind {
  // Maintenance that an operator plans.
  StopProcess,
  ChangeConfiguration,
  RunnerLeave,
  // Failures.
  KillProcess,
  PauseProcess,
  DelayTraffic,
  BlockInbound,
  BlockOutbound,
  BlockBothWays,
  ResetConnections,
  BlackholeConnections,
  RunnerCrash,
  RunnerFailures,
  RunnerHang,
  RunnerDelay,
  StoreDown,
  StoreSlow,
  StoreReplyLost,
  StorePaused,
  /// Half of the entries and agents at the same moment.
  KillHalf,
  /// About as long as a lease.
  PauseAroundLease,
  /// Two processes, or a process and a runner, shortly after each other.
  KillThenPause,
  PauseThenKill,
  KillTwo,
  PauseThenRunnerCrash,
  /// All connections of a process, several times within some milliseconds.
  ResetSeries,
  /// Between an agent and its runner, or callers and an entry.
  LoseAnswers,
  CloseConnections,
  LateCalls,
  /// The runner gets no answer to its deregistration.
  RunnerLeaveUnanswered,
  /// Heartbeats of another writer under the id of a runner.
  ForeignHeartbeat,
  /// Connections that send too much, or never finish, at all ports of a
  /// process.
  HostileClients,
  Count
};

const char *nameOf(FaultKind Kind);

/// A fault with its time and its target.
struct ScheduledFault {
  FaultKind m_Kind = FaultKind::KillProcess;
  /// Relative to the start of the soak run.
  Duration m_Start{};
  Duration m_Length{};
  /// The process; for a fault of a runner, the runner's agent.
  std::string m_Target;

  Duration end() const { return m_Start + m_Length; }
};

struct FaultPlanOptions {
  std::vector<std::string> m_Entries;
  std::vector<std::string> m_Agents;
  Duration m_Length = seconds(20);
  std::uint32_t m_Seed = 1;
  /// Names of the groups whose faults are drawn; empty for all.
  std::vector<std::string> m_Groups = {};
  /// Mean time from the start of one fault to the next.
  Duration m_MeanGap = milliseconds(600);
};

/// The names of all groups of faults.
std::vector<std::string> faultGroups();

/// Returns random faults, sorted by their start. The first third of the run
/// holds only maintenance, if all groups are drawn; after that, faults follow
/// each other and overlap. The same options give the same plan. Throws
/// std::invalid_argument for an unknown group.
std::vector<ScheduledFault> generateFaultPlan(const FaultPlanOptions &Options);

bool isMaintenance(FaultKind Kind);

/// Whether the fault strikes a runner and not the process that it names.
bool isRunnerFault(FaultKind Kind);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_FAULTPLAN_H
