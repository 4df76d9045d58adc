#ifndef CYCLAMENWALK_BATCH_INTERNAL_BATCHSERVICE_H
#define CYCLAMENWALK_BATCH_INTERNAL_BATCHSERVICE_H

#include "batch/batchmodule.h"
#include "batch/internal/batchjob.h"
#include "batch/internal/jobadmission.h"
#include "batch/internal/stoppingruns.h"
#include "batch/internal/workertable.h"

#include <unordered_map>

namespace cyclamenwalk {

class BatchService final : public IBatchService {
public:
  BatchService(Incarnation Entry, BatchSettings Settings, BatchHooks Hooks,
               BatchDependencies Dependencies);
  ~BatchService() override;

  JobId submit(BatchSpec Spec, BatchCallback Callback) override;
  void removeCaller(JobId Id) override;
  bool isStopping(const std::string &Name) const override;
  bool cancel(const std::string &Name) override;
  bool isRunning(const std::string &Name) const override;
  std::size_t waiting(const std::string &Route) const override;
  void agentUp(const Peer &Agent) override;
  void agentDown(const Peer &Agent) override;
  void receive(Incarnation Agent, Message &Body) override;
  bool hasWorkers() const override;
  std::vector<ServiceRoom> rooms() const override;
  std::vector<GroupWork> groupWork() const override;
  void receiveGroupWork(Incarnation Entry,
                        const std::vector<GroupWork> &Work) override;
  std::size_t running() const override;

private:
  BatchTaskChart bindTask(const IChartSource &Charts);
  BatchJobChart bindJob(const IChartSource &Charts);

  BatchJob &addJob(BatchSpec Spec);
  void refuse(BatchJob &Job, ResultCode Code, Duration RetryAfter);
  ResultCode checkFeasibility(const BatchSpec &Spec) const;
  PlacementJob placementRequest(const BatchJob &Job, std::uint32_t Tasks) const;
  PlacementPlan plan(const BatchJob &Job, const PlacementJob &Request);
  void sendPlan(BatchJob &Job, const PlacementJob &Request,
                const PlacementPlan &Plan);
  void sendTasks(Incarnation Agent, BatchJob &Job, const PlacementJob &Request,
                 Duration Wait, const std::vector<BatchTask *> &Tasks);
  void placeUnplacedTasks(BatchJob &Job);
  ReportInterval reportInterval() const;

  void receiveForecast(Incarnation Agent, const DeadlineMissForecast &Forecast);
  void receiveResults(Incarnation Agent, RunResults &Body);
  void receiveResult(Incarnation Agent, const RunResult &Result);
  void countResult(Incarnation Agent, BatchJob &Job, RunOutcome Outcome);
  BatchJob *find(JobId Id);
  void fireJobEvent(BatchJob &Job, BatchJobEvent Event);
  void failJob(BatchJob &Job, ResultCode Code);
  bool mayHaveRun(const BatchJob &Job) const;
  void setCode(BatchJob &Job, ResultCode DidNotRun, ResultCode MayHaveRun);
  void stopPlacedTasks(BatchJob &Job);
  void answerCallers(BatchJob &Job);

  const Incarnation m_Entry;
  const BatchSettings m_Settings;
  const BatchHooks m_Hooks;
  ILinks &m_Links;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const BatchTaskChart m_TaskChart;
  const BatchJobChart m_JobChart;
  WorkerTable m_Workers;
  JobAdmission m_Admission;
  std::unordered_map<JobId, std::unique_ptr<BatchJob>> m_Jobs;
  /// Jobs that have not been answered.
  std::unordered_map<std::string, JobId> m_JobsByName;
  StoppingRuns m_StoppingRuns;
  std::uint64_t m_LastJob = 0;
  /// The number of agents when all were last told the report interval.
  std::size_t m_AnnouncedAgentCount = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_INTERNAL_BATCHSERVICE_H
