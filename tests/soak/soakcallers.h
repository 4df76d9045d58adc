#ifndef CYCLAMENWALK_TESTS_SOAK_SOAKCALLERS_H
#define CYCLAMENWALK_TESTS_SOAK_SOAKCALLERS_H

#include "core/types/time.h"
#include "soak/fleet.h"
#include "soak/soakchecker.h"

#include <cstdint>
#include <memory>

namespace cyclamenwalk {

struct CallerForm {
  double m_JobsPerSecond = 20;
  /// Share of the jobs whose caller leaves before the answer.
  double m_LeavingShare = 0.1;
  std::uint32_t m_Seed = 1;
};

/// Callers on a thread of their own. They keep their connections, send a job
/// again after a lost connection, 502 or 504, and tell the checker everything.
class SoakCallers {
public:
  SoakCallers(const Fleet &Called, SoakChecker &Checker, CallerForm Form);
  ~SoakCallers();

  /// The entry takes a planned stop from now on: what it has accepted has to
  /// be answered.
  void expectAnswers(int Entry, bool IsExpected);

  /// No further job is sent; those under way are waited for.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_SOAKCALLERS_H
