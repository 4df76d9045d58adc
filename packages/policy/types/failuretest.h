#ifndef CYCLAMENWALK_POLICY_TYPES_FAILURETEST_H
#define CYCLAMENWALK_POLICY_TYPES_FAILURETEST_H

#include "core/types/time.h"

#include <functional>

namespace cyclamenwalk {

/// One result of a worker, as a failure test sees it.
struct FailureSample {
  bool m_HasFailed = false;
  /// The recent share of failures of the service's other workers.
  double m_PeerRate = 0;
  TimePoint m_At;
};

/// Judges one worker by its results; true when it should be ejected.
using FailureTest = std::function<bool(const FailureSample &)>;

/// Makes the test of a new worker.
using FailureTestFactory = std::function<FailureTest()>;

/// A cumulative sum of log likelihood ratios of "fails far more often than its
/// peers" over "fails as they do". The chance that a worker like its peers is
/// ejected is at most about one in a million results.
FailureTest makeSequentialTest();

/// The ratio of failures in a window of one second, tested at each result
/// once the window holds five, as the Sentinel article describes.
FailureTest makePerCallRatioTest();

/// The same ratio, tested once at the end of each window.
FailureTest makeWholeWindowTest();

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_FAILURETEST_H
