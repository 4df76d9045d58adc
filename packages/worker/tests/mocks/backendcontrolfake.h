#ifndef CYCLAMENWALK_WORKER_TESTS_MOCKS_BACKENDCONTROLFAKE_H
#define CYCLAMENWALK_WORKER_TESTS_MOCKS_BACKENDCONTROLFAKE_H

#include "worker/ibackendcontrol.h"

#include <map>
#include <vector>

namespace cyclamenwalk {

/// A backend server under control of the test, which decides when holds are
/// answered. Starts every run it is told to, regardless of its resources.
class BackendControlFake final : public IBackendControl {
public:
  void start(StartOrder Order, std::function<void(OrderReply)> Done) override {
    m_Starts.push_back(Order);
    if (m_KeepsStarts) {
      m_PendingStarts.push_back(std::move(Done));
      return;
    }
    if (m_RefusesAsStale) {
      Done({OrderOutcome::StaleRun, m_Clock});
      return;
    }
    if (m_DelaysStarts) {
      m_DelayedStarts.push_back(Order);
      Done({OrderOutcome::Unanswered, {}});
      return;
    }
    Done({executeStart(Order), m_Clock});
  }

  void stop(StopOrder Order, std::function<void(OrderReply)> Done) override {
    m_Stops.push_back(Order.m_Run);
    if (m_LosesStops)
      return;
    if (m_IgnoresStops)
      return Done({OrderOutcome::Unanswered, {}});
    if (m_Running.erase(Order.m_Run) > 0)
      m_Ended.push_back({++m_LastEndNumber, Order.m_Run, RunOutcome::Stopped});
    Done({OrderOutcome::Done, m_Clock});
  }

  void hold(HoldOrder Order, std::function<void(HoldReply)> Done) override {
    ++m_HoldCount;
    m_Token = std::max(m_Token, Order.m_Target.m_FencingToken);
    m_Acknowledged = std::max(m_Acknowledged, Order.m_LastEndNumber);
    m_LeaseUntil = std::max(m_LeaseUntil, Order.m_LeaseUntil);
    m_Holds.push_back({std::move(Order), std::move(Done)});
  }

  /// Carries out a start order as on arrival, which may be delayed.
  OrderOutcome executeStart(const StartOrder &Order) {
    if (Order.m_Target.m_FencingToken < m_Token)
      return OrderOutcome::Fenced;
    m_Token = Order.m_Target.m_FencingToken;
    m_LeaseUntil = std::max(m_LeaseUntil, Order.m_LeaseUntil);
    m_Running[Order.m_Run] = 0;
    return OrderOutcome::Done;
  }

  void endRun(const RunId &Run, RunOutcome Outcome) {
    m_Running.erase(Run);
    m_Ended.push_back({++m_LastEndNumber, Run, Outcome});
  }

  /// Replies to the outstanding holds with the current lists of runs.
  void answerHolds(OrderOutcome Outcome = OrderOutcome::Done) {
    auto Holds = std::move(m_Holds);
    m_Holds.clear();
    for (auto &Hold : Holds)
      Hold.m_Done(makeReply(Outcome));
  }

  /// Starts a later incarnation, which knows nothing of before.
  void restart(Duration StartedAt) {
    m_InstanceStartedAt = StartedAt;
    m_Running.clear();
    m_Ended.clear();
    m_Token = m_LastEndNumber = m_Acknowledged = 0;
    m_LeaseUntil = {};
  }

  /// Replies to the start orders that were kept.
  void answerStarts(OrderOutcome Outcome) {
    auto Starts = std::move(m_PendingStarts);
    m_PendingStarts.clear();
    for (auto &Done : Starts)
      Done({Outcome, m_Clock});
  }

  HoldReply makeReply(OrderOutcome Outcome) const {
    HoldReply Reply;
    Reply.m_Outcome = Outcome;
    Reply.m_Clock = m_Clock;
    Reply.m_InstanceStartedAt = m_InstanceStartedAt;
    for (const auto &Item : m_Running)
      Reply.m_Running.push_back({Item.first, Item.second});
    for (const EndedRun &Ended : m_Ended)
      if (Ended.m_Number > m_Acknowledged &&
          Reply.m_Ended.size() < MaxListedEnds)
        Reply.m_Ended.push_back(Ended);
    return Reply;
  }

  struct PendingHold {
    HoldOrder m_Order;
    std::function<void(HoldReply)> m_Done;
  };

  Duration m_Clock = seconds(50);
  Duration m_InstanceStartedAt{};
  /// Whether start orders get no reply and take effect only when the test
  /// passes them from m_DelayedStarts to executeStart().
  bool m_DelaysStarts = false;
  /// Whether stop orders are lost on the way.
  bool m_LosesStops = false;
  /// Whether stop orders are lost and reported as unanswered.
  bool m_IgnoresStops = false;
  /// Whether start orders are kept, without effect, until answerStarts().
  bool m_KeepsStarts = false;
  /// Whether start orders are refused because a run of the task has ended.
  bool m_RefusesAsStale = false;
  std::uint64_t m_Token = 0;
  std::size_t m_HoldCount = 0;
  std::uint64_t m_LastEndNumber = 0;
  std::uint64_t m_Acknowledged = 0;
  Duration m_LeaseUntil{};
  /// The runs in progress and their progress in percent.
  std::map<RunId, std::uint32_t> m_Running;
  std::vector<EndedRun> m_Ended;
  std::vector<StartOrder> m_Starts;
  std::vector<StartOrder> m_DelayedStarts;
  std::vector<std::function<void(OrderReply)>> m_PendingStarts;
  std::vector<RunId> m_Stops;
  std::vector<PendingHold> m_Holds;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_TESTS_MOCKS_BACKENDCONTROLFAKE_H
