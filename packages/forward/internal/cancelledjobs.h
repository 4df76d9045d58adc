#ifndef CYCLAMENWALK_FORWARD_INTERNAL_CANCELLEDJOBS_H
#define CYCLAMENWALK_FORWARD_INTERNAL_CANCELLEDJOBS_H

#include "forward/joblookupmodule.h"

#include <map>

namespace cyclamenwalk {

class CancelledJobs final : public ICancelledJobs {
public:
  CancelledJobs(CancelledJobsSettings Settings, IBatchService &Jobs,
                ITimerService &Timers)
      : m_Settings(Settings), m_Jobs(Jobs), m_Timers(Timers) {}
  ~CancelledJobs() override;

  void refuse(const std::string &Name) override;
  JobId submit(BatchSpec Spec, BatchCallback Callback) override;

  void removeCaller(JobId Id) override { m_Jobs.removeCaller(Id); }
  bool cancel(const std::string &Name) override { return m_Jobs.cancel(Name); }
  bool isRunning(const std::string &Name) const override {
    return m_Jobs.isRunning(Name);
  }
  std::size_t waiting(const std::string &Route) const override {
    return m_Jobs.waiting(Route);
  }
  std::size_t running() const override { return m_Jobs.running(); }
  void agentUp(const Peer &Agent) override { m_Jobs.agentUp(Agent); }
  void agentDown(const Peer &Agent) override { m_Jobs.agentDown(Agent); }
  void receive(Incarnation Agent, Message &Body) override {
    m_Jobs.receive(Agent, Body);
  }
  bool isStopping(const std::string &Name) const override {
    return m_Jobs.isStopping(Name);
  }
  bool hasWorkers() const override { return m_Jobs.hasWorkers(); }
  std::vector<ServiceRoom> rooms() const override { return m_Jobs.rooms(); }
  std::vector<GroupWork> groupWork() const override {
    return m_Jobs.groupWork();
  }
  void receiveGroupWork(Incarnation Entry,
                        const std::vector<GroupWork> &Work) override {
    m_Jobs.receiveGroupWork(Entry, Work);
  }

private:
  const CancelledJobsSettings m_Settings;
  IBatchService &m_Jobs;
  ITimerService &m_Timers;
  /// By name, the timer at which the refusal ends.
  std::map<std::string, TimerId> m_Refused;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_INTERNAL_CANCELLEDJOBS_H
