#ifndef CYCLAMENWALK_JOB_INTERNAL_JOBSERVICE_H
#define CYCLAMENWALK_JOB_INTERNAL_JOBSERVICE_H

#include "job/internal/agenttable.h"
#include "job/internal/dispatcher.h"
#include "job/internal/jobadmission.h"
#include "job/internal/jobtable.h"

#include <map>

namespace cyclamenwalk {

/// Owns the jobs of an entry: admits them, starts their tasks on agents and
/// collects the results.
class JobService final : public IJobService {
public:
  JobService(Incarnation Entry, JobSettings Settings, PolicyHooks Hooks,
             EntryShareSource Share, JobDependencies Dependencies);
  ~JobService() override;

  JobId reserve() override;
  ResultCode checkAdmission(const JobSpec &Spec) override;
  void submitWithId(JobId Id, JobSpec Spec, JobCallback Done) override;
  bool wait(JobId Id, JobCallback Done) override;
  bool cancel(JobId Id) override;
  void agentUp(const Peer &Agent) override;
  void agentDown(const Peer &Agent) override;
  void receive(Incarnation Agent, Message &Body) override;
  void reconfigure() override;
  EntryStatus status() const override;
  std::size_t running() const override;

private:
  TaskChart bindTaskChart(const IChartSource &Charts);
  JobChart bindJobChart(const IChartSource &Charts);

  void startJob(Job &NewJob, JobSpec Spec);

  void startNextTask(JobId Id);
  void sendStart(Job &OwningJob, std::uint32_t Index,
                 const AgentCredit &SpentCredit);
  void requeueRefusedTask(Task &RefusedTask);
  void requeueTask(JobId Id, std::uint32_t Index, const std::string &Service,
                   const std::string &Team);

  void receiveState(LinkedAgent &From, const BackendState &State);
  void receiveDone(LinkedAgent &From, TaskDone &Done);
  void receiveRefusal(LinkedAgent &From, const StartRefused &Refusal);
  Task *takeInFlightTask(LinkedAgent &From, TaskId Id, CreditId Credit);
  void recordResult(const LinkedAgent &From, Job &OwningJob,
                    const TaskDone &Done);
  void fireTask(Task &Subject, TaskEvent Event);
  void fireJob(Job &Subject, JobEvent Event);

  void stopRemainingTasks(Job &FailedJob);
  void deliverAnswer(Job &EndedJob);
  void releaseQuota(const std::string &Service, const std::string &Team);
  Dispatcher &dispatcher(const std::string &Service);
  void updateTeamShares(const std::string &Service,
                        Dispatcher &ServiceDispatcher);

  const Incarnation m_Entry;
  const JobSettings m_Settings;
  const PolicyHooks m_Hooks;
  const EntryShareSource m_Share;
  ILinks &m_Links;
  IConfigurationStore &m_Configuration;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const TaskChart m_TaskChart;
  const JobChart m_JobChart;
  std::unique_ptr<IRunTimes> m_RunTimes;
  std::unique_ptr<IWorkerHealth> m_Health;
  std::unique_ptr<IRetryBudget> m_RetryBudget;
  JobTable m_Jobs;
  AgentTable m_Agents;
  const JobAdmission m_Admission;
  std::map<std::string, std::unique_ptr<Dispatcher>> m_Dispatchers;
  std::uint64_t m_LastSequence = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_INTERNAL_JOBSERVICE_H
