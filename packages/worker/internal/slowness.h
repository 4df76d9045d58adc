#ifndef CYCLAMENWALK_WORKER_INTERNAL_SLOWNESS_H
#define CYCLAMENWALK_WORKER_INTERNAL_SLOWNESS_H

#include "worker/internal/run.h"

#include <vector>

namespace cyclamenwalk {

/// Estimates how much longer runs take at a server than expected.
class Slowness {
public:
  void recordSuccess(const Run &Ended, Duration RunTime);

  /// Running mean of actual over expected run times.
  double mean() const { return m_Mean; }

  /// The running mean, averaged with the overdue ones of \p Runs.
  double current(const std::vector<RunPointer> &Runs, TimePoint Now) const;

private:
  double m_Mean = 1;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_SLOWNESS_H
