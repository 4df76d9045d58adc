#include "policy/policymodule.h"

#include "policy/internal/creditledger.h"
#include "policy/internal/retrybudget.h"
#include "policy/internal/runtimes.h"
#include "policy/internal/taskqueue.h"
#include "policy/internal/workerhealth.h"

namespace cyclamenwalk {

std::unique_ptr<ITaskQueue> makeTaskQueue(JobOrder Order) {
  return std::make_unique<TaskQueue>(std::move(Order));
}

std::unique_ptr<ICreditLedger> makeCreditLedger(WorkerScore Score) {
  return std::make_unique<CreditLedger>(std::move(Score));
}

std::unique_ptr<IRunTimes> makeRunTimes() {
  return std::make_unique<RunTimes>();
}

std::unique_ptr<IRetryBudget> makeRetryBudget() {
  return std::make_unique<RetryBudget>();
}

std::unique_ptr<IWorkerHealth> makeWorkerHealth(FailureTestFactory MakeTest,
                                                const IChartSource &Charts,
                                                ITimerService &Timers,
                                                IMetrics &Metrics) {
  return std::make_unique<WorkerHealth>(std::move(MakeTest), Charts, Timers,
                                        Metrics);
}

} // namespace cyclamenwalk
