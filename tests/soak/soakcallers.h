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
  /// Ratio of jobs that are cancelled at any entry, to all jobs.
  double m_CancelRatio = 0.03;
  /// Ratio of jobs with one or two tasks of up to m_MaxLongTime.
  double m_LongRatio = 0.06;
  Duration m_MaxLongTime = seconds(3);
  std::uint32_t m_Seed = 1;
};

/// Generates load from a thread of its own over persistent connections. A job
/// is sent again to another entry after a lost connection, 502 or 504. Every
/// submission, cancellation and answer is recorded in the checker.
class SoakCallers {
public:
  SoakCallers(const Fleet &TestFleet, SoakChecker &Checker,
              CallerOptions Options);
  ~SoakCallers();

  /// While an entry stops gracefully, it must answer every request that it has
  /// accepted.
  void setGracefulStop(int Entry, bool IsStopping);

  /// Called when an entry was started again; many cancellations go there.
  void recordRestart(int Entry);

  /// The number of jobs sent so far, each counted once, whose callers neither
  /// cancel them nor leave early.
  std::size_t awaitedJobs() const;

  /// Sends no further jobs and waits for the answers of those in progress.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_SOAKCALLERS_H
