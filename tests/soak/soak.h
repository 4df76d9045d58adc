#ifndef CYCLAMENWALK_TESTS_SOAK_SOAK_H
#define CYCLAMENWALK_TESTS_SOAK_SOAK_H

#include "soak/fleet.h"
#include "soak/soakcallers.h"

#include <string>
#include <vector>

namespace cyclamenwalk {

struct SoakOptions {
  FleetOptions m_Fleet;
  CallerOptions m_Callers;
  /// Seeds the fault plan, the jobs and the runner faults.
  std::uint32_t m_Seed = 1;
  Duration m_Length = seconds(20);
  /// Runs without faults and without the recovery check.
  bool m_IsFaultFree = false;
  /// Whether the recovery after the faults is checked.
  bool m_ChecksRecovery = true;
  /// See FaultPlanOptions.
  std::vector<std::string> m_FaultGroups;
  Duration m_MeanFaultGap = milliseconds(600);
};

struct SoakResult {
  std::vector<std::string> m_Violations;
  /// A description of each injected fault, in order.
  std::vector<std::string> m_Faults;
  /// Answers with status 200, with status 503, and none at all.
  std::size_t m_Completed = 0;
  std::size_t m_Refused = 0;
  std::size_t m_Unanswered = 0;
  std::size_t m_TaskStarts = 0;
  /// Cancellations answered with 2xx or 410.
  std::size_t m_Cancellations = 0;
  std::string m_LogFolder;
};

/// Runs a fleet under load while faults are injected, and checks its
/// guarantees.
SoakResult runSoak(const SoakOptions &Options);

std::string describe(const SoakOptions &Options, const SoakResult &Result);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_SOAK_H
