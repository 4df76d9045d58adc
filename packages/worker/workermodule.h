#ifndef CYCLAMENWALK_WORKER_WORKERMODULE_H
#define CYCLAMENWALK_WORKER_WORKERMODULE_H

#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "membership/ilinks.h"
#include "policy/types/failuretest.h"
#include "statechart/ichartsource.h"
#include "worker/ibackendcontrol.h"
#include "worker/iworkerservice.h"

#include <functional>
#include <memory>

namespace cyclamenwalk {

struct WorkerDependencies {
  const IChartSource &m_Charts;
  ILinks &m_Links;
  IBackendControl &m_Control;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  /// Returns a fencing token higher than any that an earlier agent of this
  /// worker has used.
  std::function<std::uint64_t()> m_MakeFencingToken;
  /// Makes the test that suspends the backend server when its runs fail.
  FailureTestFactory m_MakeFailureTest = makeSequentialTest;
};

std::unique_ptr<IWorkerService>
makeWorkerService(WorkerSettings Settings, WorkerDependencies Dependencies);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_WORKERMODULE_H
