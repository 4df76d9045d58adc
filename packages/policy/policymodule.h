#ifndef CYCLAMENWALK_POLICY_POLICYMODULE_H
#define CYCLAMENWALK_POLICY_POLICYMODULE_H

#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "policy/icreditledger.h"
#include "policy/iretrybudget.h"
#include "policy/iruntimes.h"
#include "policy/itaskqueue.h"
#include "policy/iworkerhealth.h"
#include "policy/types/admission.h"
#include "policy/types/failuretest.h"
#include "statechart/ichartsource.h"

#include <memory>

namespace cyclamenwalk {

/// The replaceable policies of an entry; the defaults can be exchanged for
/// baselines.
struct PolicyHooks {
  JobOrder m_JobOrder = orderByRemainingWork;
  WorkerScore m_WorkerScore = [](const WorkerView &View) {
    return static_cast<double>(View.m_InFlight);
  };
  Admission m_Admission = admitByDeadline;
  FailureTestFactory m_FailureTest = makeSequentialTest;
};

std::unique_ptr<ITaskQueue> makeTaskQueue(JobOrder Order);
std::unique_ptr<ICreditLedger> makeCreditLedger(WorkerScore Score);
std::unique_ptr<IRunTimes> makeRunTimes();
std::unique_ptr<IRetryBudget> makeRetryBudget();
std::unique_ptr<IWorkerHealth> makeWorkerHealth(FailureTestFactory MakeTest,
                                                const IChartSource &Charts,
                                                ITimerService &Timers,
                                                IMetrics &Metrics);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_POLICYMODULE_H
