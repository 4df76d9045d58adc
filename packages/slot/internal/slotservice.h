#ifndef CYCLAMENWALK_SLOT_INTERNAL_SLOTSERVICE_H
#define CYCLAMENWALK_SLOT_INTERNAL_SLOTSERVICE_H

#include "slot/internal/creditallocator.h"
#include "slot/internal/taskhistory.h"
#include "slot/slotmodule.h"

#include <set>
#include <unordered_map>

namespace cyclamenwalk {

class SlotService final : public ISlotService {
public:
  SlotService(SlotSettings Settings, EntryChoice ChooseEntry,
              const IChartSource &Charts, ILinks &Links, IExecutor &Executor,
              ITimerService &Timers, IMetrics &Metrics);
  ~SlotService() override;

  void announce(const BackendOffer &Offer) override;
  void drain() override;
  void setLimits(const SlotLimits &Limits) override;
  void entryUp(const Peer &Entry) override;
  void entryDown(const Peer &Entry) override;
  void receive(Incarnation Entry, Message &Body) override;
  std::size_t running() const override;
  std::size_t issuedCredits() const override;
  bool isServing() const override;

private:
  using ExecutionPointer = std::shared_ptr<Execution>;

  BackendChart bindBackend(const IChartSource &Charts);
  CreditChart bindCredit(const IChartSource &Charts);
  ExecutionChart bindExecution(const IChartSource &Charts);

  void adoptOffer();
  void resumeServing();
  void renewLease();
  void sendState(Incarnation Entry);
  void sendStateToAll();

  void receiveStart(Incarnation Entry, Start &Body);
  void receiveDemand(Incarnation Entry, const Demand &StatedDemand);
  void receiveStop(JobId Job);
  ResultCode refusalCode(const IssuedCredit &HeldCredit) const;
  void refuseStart(Incarnation Entry, const Start &Refused, ResultCode Code);
  void startTask(IssuedCredit &HeldCredit);
  void executeTask(const ExecutionPointer &Started, Start &Body);
  void subscribeTimers(const ExecutionPointer &Started, Duration Remaining);
  void finishTask(const ExecutionPointer &Ended, ExecutionResult Result);
  void fire(const ExecutionPointer &Target, ExecutionEvent Event);
  void reportResult(Execution &Ended);
  void releaseSlot(Execution &Ended);
  ExecutionPointer removeExecution(const Execution &Ended);
  void sendResult(Execution &Ended, std::vector<Credit> Credits);
  void failRunningTasks();

  std::uint32_t slots() const;
  std::uint32_t longSlots() const;
  std::vector<Credit> distribute(Incarnation PreviousHolder);
  void distributeIdleSlots();

  const SlotSettings m_Settings;
  ILinks &m_Links;
  IExecutor &m_Executor;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const BackendChart m_BackendChart;
  const CreditChart m_CreditChart;
  const ExecutionChart m_ExecutionChart;
  SlotLimits m_Limits;
  Backend m_Backend;
  /// Instances of the backend server that another one has replaced.
  std::set<std::string> m_FormerInstances;
  CreditAllocator m_Credits;
  TaskHistory m_TaskHistory;
  std::vector<Incarnation> m_Entries;
  std::unordered_map<TaskId, ExecutionPointer> m_Running;
  std::uint32_t m_LongRunning = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_INTERNAL_SLOTSERVICE_H
