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
};

/// Returns random faults, sorted by their start. The first third of the run
/// holds only maintenance; after that, faults of all kinds follow each other
/// and overlap. The same options give the same plan.
std::vector<ScheduledFault> generateFaultPlan(const FaultPlanOptions &Options);

bool isMaintenance(FaultKind Kind);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_FAULTPLAN_H
