#ifndef CYCLAMENWALK_POLICY_TYPES_WORKERSPEED_H
#define CYCLAMENWALK_POLICY_TYPES_WORKERSPEED_H

#include "core/types/time.h"
#include "message/types/placement.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace cyclamenwalk {

/// Run time over estimate, within the bounds in which it says something about
/// the speed of a worker.
double runTimeRatio(Duration Actual, Duration Expected);

/// Estimates the slowness of one worker, the ratio of run times to their
/// estimates, from its latest ends. Robust against tails: a run far above the
/// median is counted, and has no more weight than one at twice the median.
class SpeedEstimator {
public:
  /// Returns whether the run was a tail.
  bool recordEnd(Duration Actual, Duration Expected);

  /// The estimate for the reports to entries, which know other workers of the
  /// kind.
  const LearnedSpeed &learned() const { return m_Learned; }

  /// The estimate for the worker alone; after few ends it is closer to 1.
  double slowness() const;

private:
  void dropEndsBeforeChange();
  void update();

  /// Logarithms of the ratios, the latest one last.
  std::deque<double> m_LogRatios;
  LearnedSpeed m_Learned;
};

/// The slowness of each of the workers of one kind: the worker's own, shrunk
/// towards that of the kind. How far depends on the number of ends, and on how
/// much more the workers differ than workers of the same speed would by chance.
struct KindSpeeds {
  /// The median over the workers.
  double m_Slowness = 1;
  /// In the order of the workers.
  std::vector<double> m_ByWorker;
};
KindSpeeds shrinkToKind(const std::vector<LearnedSpeed> &Workers);

/// Whether so many of the runs in progress at once are overdue that the worker
/// must have become slow; single overdue runs are tails.
bool hasBecomeSlow(std::size_t Running, std::size_t Overdue);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_WORKERSPEED_H
