#ifndef CYCLAMENWALK_TESTS_SOAK_SOAK_H
#define CYCLAMENWALK_TESTS_SOAK_SOAK_H

#include "soak/fleet.h"
#include "soak/soakcallers.h"

#include <string>
#include <vector>

namespace cyclamenwalk {

struct SoakForm {
  FleetForm m_Fleet;
  CallerForm m_Callers;
  /// All that is random is drawn from it.
  std::uint32_t m_Seed = 1;
  Duration m_Length = seconds(20);
  /// No fault is injected.
  bool m_IsCalm = false;
};

struct SoakResult {
  std::vector<std::string> m_Violations;
  /// The faults, in order, as text.
  std::vector<std::string> m_Faults;
  std::size_t m_Completed = 0;
  std::size_t m_Refused = 0;
  std::size_t m_Lost = 0;
  std::size_t m_Starts = 0;
  std::string m_Logs;
};

/// Runs a fleet under callers and faults and checks the promises.
SoakResult runSoak(const SoakForm &Form);

std::string describe(const SoakForm &Form, const SoakResult &Result);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_SOAK_H
