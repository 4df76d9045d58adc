#ifndef CYCLAMENWALK_JOB_INTERNAL_DISPATCHER_H
#define CYCLAMENWALK_JOB_INTERNAL_DISPATCHER_H

#include "job/jobmodule.h"

#include <memory>
#include <vector>

namespace cyclamenwalk {

/// Matches the waiting tasks of one service with credits of its agents. Sends
/// Demand messages while tasks wait and no credits are left.
class Dispatcher {
public:
  /// Sends the next task of \p Job, paid for with a credit from the ledger.
  using StartHook = std::function<void(JobId Job)>;

  Dispatcher(JobSettings Settings, const PolicyHooks &Hooks,
             StartHook StartTask, ILinks &Links, ITimerService &Timers,
             IMetrics &Metrics);
  ~Dispatcher();

  ITaskQueue &queue() { return *m_Queue; }
  const ITaskQueue &queue() const { return *m_Queue; }
  ICreditLedger &ledger() { return *m_Ledger; }
  const ICreditLedger &ledger() const { return *m_Ledger; }

  void addCredits(Incarnation Agent, const std::vector<Credit> &Granted);

  void addAgent(Incarnation Agent, std::uint32_t Slots);
  void removeAgent(Incarnation Agent);

  /// Returns the slots that this entry can expect to use when the slots are
  /// shared by \p Entries entries.
  std::uint32_t expectedSlots(std::size_t Entries);

  /// Returns the content of a Demand message.
  Demand demand() const;

  /// Starts waiting tasks until tasks or credits run out.
  void dispatch();

private:
  struct AgentSlots {
    Incarnation m_Agent;
    std::uint32_t m_Slots = 0;
  };

  bool dispatchOne();
  bool needsCredits() const;
  void scheduleDemandCheck(Duration Delay);
  void checkDemand();
  void sendDemand();

  const JobSettings m_Settings;
  const StartHook m_StartTask;
  ILinks &m_Links;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  std::unique_ptr<ITaskQueue> m_Queue;
  std::unique_ptr<ICreditLedger> m_Ledger;
  std::vector<AgentSlots> m_Agents;
  std::uint32_t m_TotalSlots = 0;
  /// Running mean of the credits held plus the tasks in flight.
  double m_MeanSlots = 0;
  /// Index of the agent that received the last Demand message.
  std::size_t m_LastNotifiedAgent = 0;
  TimerId m_DemandTimer = 0;
  /// Doubles while Demand messages bring no credits.
  Duration m_DemandCheckPeriod{};
  bool m_HasNewCredits = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_INTERNAL_DISPATCHER_H
