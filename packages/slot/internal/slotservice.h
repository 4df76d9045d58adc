#ifndef CYCLAMENWALK_SLOT_INTERNAL_SLOTSERVICE_H
#define CYCLAMENWALK_SLOT_INTERNAL_SLOTSERVICE_H

#include "slot/internal/creditbook.h"
#include "slot/internal/taskmemory.h"
#include "slot/slotmodule.h"

#include <unordered_map>

namespace cyclamenwalk {

class SlotService final : public ISlotService {
public:
  SlotService(SlotSettings Settings, EntryChoice Choose,
              const IChartSource &Charts, ILinks &Links, IExecutor &Executor,
              ITimerService &Timers, IMetrics &Metrics);
  ~SlotService() override;

  void announce(const BackendOffer &Offer) override;
  void leave() override;
  void setLimits(const SlotLimits &Limits) override;
  void entryUp(const Peer &Entry) override;
  void entryDown(const Peer &Entry) override;
  void receive(Incarnation Entry, Message &Body) override;
  std::size_t running() const override;
  std::size_t creditsOut() const override;
  bool isServing() const override;

private:
  using ExecutionPointer = std::shared_ptr<Execution>;

  BackendChart bindBackend(const IChartSource &Charts);
  CreditChart bindCredit(const IChartSource &Charts);
  ExecutionChart bindExecution(const IChartSource &Charts);

  void open();
  void reopen();
  void renewLease();
  void sendState(Incarnation Entry);
  void sendStateToAll();

  void receiveStart(Incarnation Entry, Start &Body);
  void receiveDemand(Incarnation Entry, const Demand &Stated);
  void receiveStop(JobId Job);
  ResultCode refusalOf(const IssuedCredit &Known) const;
  void refuse(Incarnation Entry, const Start &Sent, ResultCode Code);
  void startTask(IssuedCredit &Known);
  void executeTask(const ExecutionPointer &Started, Start &Body);
  void subscribeTimers(const ExecutionPointer &Started, Duration Remaining);
  void finish(const ExecutionPointer &Ended, ExecutionResult Result);
  void fire(const ExecutionPointer &Known, ExecutionEvent What);
  void report(Execution &Ended);
  void loseRunning();

  std::uint32_t slots() const;
  std::uint32_t longSlots() const;
  std::vector<Credit> distribute(Incarnation Finisher);
  void distributeIdle();

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
  CreditBook m_Credits;
  TaskMemory m_Memory;
  std::vector<Incarnation> m_Entries;
  std::unordered_map<TaskId, ExecutionPointer> m_Running;
  std::uint32_t m_LongRunning = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_INTERNAL_SLOTSERVICE_H
