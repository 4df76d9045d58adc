#ifndef CYCLAMENWALK_TESTS_SOAK_FAULTPLAN_H
#define CYCLAMENWALK_TESTS_SOAK_FAULTPLAN_H

#include "core/types/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

enum class FaultKind {
  // Planned.
  StopProcess,
  ChangeConfiguration,
  RunnerLeaves,
  // Unplanned.
  KillProcess,
  PauseProcess,
  DelayLinks,
  CutToProcess,
  CutFromProcess,
  CutBothWays,
  ResetLinks,
  SilenceLinks,
  RunnerCrash,
  RunnerFails,
  RunnerHangs,
  RunnerLate,
  StoreDown,
  StoreSlow,
  StoreReplyLost,
  StorePaused,
  Count
};

const char *nameOf(FaultKind Kind);

/// One fault: when it begins, how long it lasts, and what it strikes.
struct PlannedFault {
  FaultKind m_Kind = FaultKind::KillProcess;
  /// From the start of the soak.
  Duration m_At{};
  Duration m_For{};
  /// The process; for faults of a runner, its agent.
  std::string m_Target;

  Duration end() const { return m_At + m_For; }
};

struct PlanForm {
  std::vector<std::string> m_Entries;
  std::vector<std::string> m_Agents;
  Duration m_Length = seconds(20);
  std::uint32_t m_Seed = 1;
};

/// Faults drawn from a seed, in the order of their begin: planned work alone
/// in the first third, anything in series and overlapping after that.
std::vector<PlannedFault> drawPlan(const PlanForm &Form);

/// Whether \p Kind is work that an operator plans.
bool isPlanned(FaultKind Kind);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_FAULTPLAN_H
