#ifndef CYCLAMENWALK_BATCH_INTERNAL_BATCHSERVICE_H
#define CYCLAMENWALK_BATCH_INTERNAL_BATCHSERVICE_H

#include "batch/batchmodule.h"
#include "batch/internal/batchjob.h"
#include "batch/internal/workertable.h"

#include <set>
#include <unordered_map>

namespace cyclamenwalk {

class BatchService final : public IBatchService {
public:
  BatchService(Incarnation Own, BatchSettings Settings, BatchHooks Hooks,
               BatchDependencies Needs);
  ~BatchService() override;

  JobId submit(BatchSpec Spec, BatchCallback Done) override;
  void abandon(JobId Id) override;
  bool cancel(const std::string &Name) override;
  bool isRunning(const std::string &Name) const override;
  std::size_t waiting(const std::string &Route) const override;
  void agentUp(const Peer &Agent) override;
  void agentDown(const Peer &Agent) override;
  void receive(Incarnation Agent, Message &Body) override;
  bool hasWorkers() const override;
  std::size_t running() const override;

private:
  BatchTaskChart bindTask(const IChartSource &Charts);
  BatchJobChart bindJob(const IChartSource &Charts);

  BatchJob &addJob(BatchSpec Spec);
  void refuse(BatchJob &Refused, ResultCode Code, Duration RetryAfter);
  ResultCode checkPossible(const BatchSpec &Spec) const;
  PlacementJob describePlacement(const BatchJob &Known,
                                 std::uint32_t Tasks) const;
  PlacementPlan plan(const BatchJob &Known, const PlacementJob &Wanted);
  void sendPlan(BatchJob &Owner, const PlacementJob &Wanted,
                const PlacementPlan &Plan);
  void sendTo(Incarnation Agent, BatchJob &Owner, const PlacementJob &Wanted,
              Duration Wait, const std::vector<BatchTask *> &Chosen);
  void placeRest(BatchJob &Owner);
  ReportInterval pace() const;

  void receiveHopeless(Incarnation Agent, const DeadlineMissForecast &Late);
  void receiveEnds(Incarnation Agent, RunResults &Body);
  void receiveEnd(Incarnation Agent, const RunResult &End);
  void learnLateness(const RunResult &End);
  void count(Incarnation Agent, BatchJob &Owner, RunOutcome How);
  BatchJob *find(JobId Id);
  void fireJob(BatchJob &Changed, BatchJobEvent What);
  void giveUp(BatchJob &Owner, ResultCode Code);
  bool mayHaveRun(const BatchJob &Known) const;
  void setCode(BatchJob &Ended, ResultCode DidNotRun, ResultCode MayHaveRun);
  void stopRest(BatchJob &Failed);
  void answer(BatchJob &Ended);

  const Incarnation m_Own;
  const BatchSettings m_Settings;
  const BatchHooks m_Hooks;
  ILinks &m_Links;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const BatchTaskChart m_TaskChart;
  const BatchJobChart m_JobChart;
  WorkerTable m_Workers;
  SlackControl m_SlackControl;
  double m_SlackShare = 1;
  std::unordered_map<JobId, std::unique_ptr<BatchJob>> m_Jobs;
  std::unordered_map<std::string, JobId> m_ByName;
  /// Names of jobs whose runs are being stopped.
  std::multiset<std::string> m_Stopping;
  std::uint64_t m_LastJob = 0;
  /// The number of agents that the pace of reports was last told for.
  std::size_t m_PacedFor = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_INTERNAL_BATCHSERVICE_H
