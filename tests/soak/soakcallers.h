#ifndef CYCLAMENWALK_TESTS_SOAK_SOAKCALLERS_H
#define CYCLAMENWALK_TESTS_SOAK_SOAKCALLERS_H

#include "core/types/time.h"
#include "soak/fleet.h"
#include "soak/soakchecker.h"

#include <cstdint>
#include <memory>

namespace cyclamenwalk {

struct CallerOptions {
  double m_JobsPerSecond = 20;
  /// Ratio of jobs whose caller disconnects early, to all jobs.
  double m_DisconnectRatio = 0.1;
  std::uint32_t m_Seed = 1;
};

/// Generates load from a thread of its own over persistent connections. A job
/// is sent again after a lost connection, 502 or 504. Every submission and
/// answer is recorded in the checker.
class SoakCallers {
public:
  SoakCallers(const Fleet &TestFleet, SoakChecker &Checker,
              CallerOptions Options);
  ~SoakCallers();

  /// While an entry stops gracefully, it must answer every request that it has
  /// accepted.
  void setGracefulStop(int Entry, bool IsStopping);

  /// Sends no further jobs and waits for the answers of those in progress.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_SOAKCALLERS_H
