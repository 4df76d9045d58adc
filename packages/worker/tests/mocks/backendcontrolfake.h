#ifndef CYCLAMENWALK_WORKER_TESTS_MOCKS_BACKENDCONTROLFAKE_H
#define CYCLAMENWALK_WORKER_TESTS_MOCKS_BACKENDCONTROLFAKE_H

#include "worker/ibackendcontrol.h"

#include <map>
#include <vector>

namespace cyclamenwalk {

/// A backend server that answers when the test says so. It starts what it is
/// told to start, whatever its room.
class BackendControlFake final : public IBackendControl {
public:
  void start(StartOrder Order, std::function<void(OrderReply)> Done) override {
    m_Starts.push_back(Order);
    if (m_LosesStarts) {
      m_Lost.push_back(Order);
      Done({OrderOutcome::Unanswered, {}});
      return;
    }
    Done({carryOut(Order), m_Clock});
  }

  void stop(StopOrder Order, std::function<void(OrderReply)> Done) override {
    m_Stops.push_back(Order.m_Run);
    if (m_Running.erase(Order.m_Run) > 0)
      m_Ended.push_back({++m_LastEnd, Order.m_Run, RunOutcome::Stopped});
    Done({OrderOutcome::Done, m_Clock});
  }

  void hold(HoldOrder Order, std::function<void(HoldReply)> Done) override {
    m_Token = std::max(m_Token, Order.m_To.m_FencingToken);
    m_Acknowledged = std::max(m_Acknowledged, Order.m_LastEnd);
    m_LeaseUntil = std::max(m_LeaseUntil, Order.m_LeaseUntil);
    m_Holds.push_back({std::move(Order), std::move(Done)});
  }

  /// What a start order does on arrival, which may be late.
  OrderOutcome carryOut(const StartOrder &Order) {
    if (Order.m_To.m_FencingToken < m_Token)
      return OrderOutcome::Fenced;
    m_Token = Order.m_To.m_FencingToken;
    m_Running[Order.m_Run] = 0;
    return OrderOutcome::Done;
  }

  void end(const RunName &Run, RunOutcome How) {
    m_Running.erase(Run);
    m_Ended.push_back({++m_LastEnd, Run, How});
  }

  /// Answers the holds under way with what runs and has ended now.
  void answerHolds(OrderOutcome Outcome = OrderOutcome::Done) {
    auto Pending = std::move(m_Holds);
    m_Holds.clear();
    for (auto &Known : Pending)
      Known.m_Done(makeReply(Outcome));
  }

  HoldReply makeReply(OrderOutcome Outcome) const {
    HoldReply Reply;
    Reply.m_Outcome = Outcome;
    Reply.m_Clock = m_Clock;
    Reply.m_BornAt = m_BornAt;
    for (const auto &Known : m_Running)
      Reply.m_Running.push_back({Known.first, Known.second});
    for (const ListedEnd &Known : m_Ended)
      if (Known.m_Number > m_Acknowledged)
        Reply.m_Ended.push_back(Known);
    return Reply;
  }

  struct PendingHold {
    HoldOrder m_Order;
    std::function<void(HoldReply)> m_Done;
  };

  Duration m_Clock = seconds(50);
  Duration m_BornAt{};
  bool m_LosesStarts = false;
  std::uint64_t m_Token = 0;
  std::uint64_t m_LastEnd = 0;
  std::uint64_t m_Acknowledged = 0;
  Duration m_LeaseUntil{};
  /// What runs, with its progress in percent.
  std::map<RunName, std::uint32_t> m_Running;
  std::vector<ListedEnd> m_Ended;
  std::vector<StartOrder> m_Starts;
  std::vector<StartOrder> m_Lost;
  std::vector<RunName> m_Stops;
  std::vector<PendingHold> m_Holds;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_TESTS_MOCKS_BACKENDCONTROLFAKE_H
