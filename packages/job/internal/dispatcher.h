#ifndef CYCLAMENWALK_JOB_INTERNAL_DISPATCHER_H
#define CYCLAMENWALK_JOB_INTERNAL_DISPATCHER_H

#include "job/jobmodule.h"

#include <memory>
#include <vector>

namespace cyclamenwalk {

/// Matches the waiting tasks of one service with the credits of its agents,
/// and states demand while tasks wait and credits are missing.
class Dispatcher {
public:
  /// Sends the next task of \p Job against a credit from the ledger.
  using Place = std::function<void(JobId Job)>;

  Dispatcher(JobSettings Settings, const PolicyHooks &Hooks, Place Send,
             ILinks &Links, ITimerService &Timers, IMetrics &Metrics);
  ~Dispatcher();

  ITaskQueue &queue() { return *m_Queue; }
  const ITaskQueue &queue() const { return *m_Queue; }
  ICreditLedger &ledger() { return *m_Ledger; }
  const ICreditLedger &ledger() const { return *m_Ledger; }

  void addCredits(Incarnation Agent, const std::vector<Credit> &Granted);

  void addAgent(Incarnation Agent, std::uint32_t Slots);
  void removeAgent(Incarnation Agent);

  /// Slots that this entry can expect to use when \p Entries share them.
  std::uint32_t expectedSlots(std::size_t Entries);

  /// What waits here, as agents are told.
  Demand demand() const;

  /// Spends credits on waiting tasks as long as there are both.
  void dispatch();

private:
  struct KnownAgent {
    Incarnation m_Agent;
    std::uint32_t m_Slots = 0;
  };

  bool dispatchOne();
  bool needsCredits() const;
  void watchDemand(Duration Delay);
  void checkDemand();
  void stateDemand();

  const JobSettings m_Settings;
  const Place m_Place;
  ILinks &m_Links;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  std::unique_ptr<ITaskQueue> m_Queue;
  std::unique_ptr<ICreditLedger> m_Ledger;
  std::vector<KnownAgent> m_Agents;
  std::uint32_t m_TotalSlots = 0;
  /// Running mean of the slots in use or on credit.
  double m_UsualSlots = 0;
  /// The agent that is told of demand next.
  std::size_t m_NextAgent = 0;
  TimerId m_DemandTimer = 0;
  /// Grows while stated demand brings no credit.
  Duration m_DemandPause{};
  bool m_HasNewCredits = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_INTERNAL_DISPATCHER_H
