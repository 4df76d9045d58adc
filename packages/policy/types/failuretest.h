#ifndef CYCLAMENWALK_POLICY_TYPES_FAILURETEST_H
#define CYCLAMENWALK_POLICY_TYPES_FAILURETEST_H

#include "core/types/time.h"

#include <functional>

namespace cyclamenwalk {

/// One task result of a worker, the input of a FailureTest.
struct FailureSample {
  bool m_HasFailed = false;
  /// The recent failure rate (0 to 1) of the service's workers.
  double m_PeerRate = 0;
  TimePoint m_Time;
};

/// Tests the results of one worker; true if the worker should be ejected.
using FailureTest = std::function<bool(const FailureSample &)>;

/// Creates the test of a new worker.
using FailureTestFactory = std::function<FailureTest()>;

/// CUSUM test: sums the log likelihood ratios of "fails far more often than its
/// peers" against "fails as often as its peers". A worker like its peers is
/// ejected at most about once in a million results.
FailureTest makeSequentialTest();

/// Failure ratio in a window of one second, tested at each result once the
/// window holds five, as described in the article on Sentinel.
FailureTest makePerCallRatioTest();

/// The same ratio, tested once at the end of each window.
FailureTest makeWholeWindowTest();

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_FAILURETEST_H
