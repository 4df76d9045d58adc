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
  /// A fencing token above that of every earlier agent of this worker.
  std::function<std::uint64_t()> m_FirstToken;
  /// Judges the backend server by how its runs end.
  FailureTestFactory m_FailureTest = makeSequentialTest;
};

std::unique_ptr<IWorkerService> makeWorkerService(WorkerSettings Settings,
                                                  WorkerDependencies Needs);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_WORKERMODULE_H
