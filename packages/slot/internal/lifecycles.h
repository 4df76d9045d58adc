#ifndef CYCLAMENWALK_SLOT_INTERNAL_LIFECYCLES_H
#define CYCLAMENWALK_SLOT_INTERNAL_LIFECYCLES_H

#include "core/itimerservice.h"
#include "message/types/messages.h"
#include "slot/types/execution.h"
#include "statechart/boundchart.h"

namespace cyclamenwalk {

enum class BackendPhase { Absent, Serving, Unreachable, Leaving };
enum class BackendEvent { Announced, Leave, ContactLost, LeaseExpired };

template <> struct ChartNames<BackendPhase> {
  static constexpr std::array<std::string_view, 4> Values{
      "absent", "serving", "unreachable", "leaving"};
};
template <> struct ChartNames<BackendEvent> {
  static constexpr std::array<std::string_view, 4> Values{
      "announced", "leave", "contactLost", "leaseExpired"};
};

/// The backend server of this agent.
struct Backend {
  BackendPhase m_State = BackendPhase::Absent;
  BackendOffer m_Offer;
  /// The announcement that the chart is processing.
  BackendOffer m_ReceivedOffer;
  TimerId m_LeaseTimer = 0;
};

enum class CreditState { Issued, Used, Withdrawn };
enum class CreditEvent { Start, Withdraw };

template <> struct ChartNames<CreditState> {
  static constexpr std::array<std::string_view, 3> Values{"issued", "used",
                                                          "withdrawn"};
};
template <> struct ChartNames<CreditEvent> {
  static constexpr std::array<std::string_view, 2> Values{"start", "withdraw"};
};

/// A credit that an entry holds.
struct IssuedCredit {
  CreditState m_State = CreditState::Issued;
  CreditId m_Id;
  Incarnation m_Entry;
  bool m_AllowsLongTasks = true;
  TimePoint m_IssuedAt;
  /// The start message that the chart is processing.
  Start *m_Start = nullptr;
};

enum class ExecutionState { Running, Stopping, Unconfirmed, Ended };
enum class ExecutionEvent { Overrun, Stop, Done, Unanswered, Lost };

template <> struct ChartNames<ExecutionState> {
  static constexpr std::array<std::string_view, 4> Values{
      "running", "stopping", "unconfirmed", "ended"};
};
template <> struct ChartNames<ExecutionEvent> {
  static constexpr std::array<std::string_view, 5> Values{
      "overrun", "stop", "done", "unanswered", "lost"};
};

/// A task that occupies a slot.
struct Execution {
  ExecutionState m_State = ExecutionState::Running;
  TaskId m_Task;
  CreditId m_Credit;
  Incarnation m_Entry;
  std::string m_Address;
  bool m_IsLong = false;
  TimePoint m_StartedAt;
  TimerId m_OverrunTimer = 0;
  TimerId m_LostTimer = 0;
  ExecutionResult m_Result;
};

using BackendChart = BoundChart<Backend, BackendPhase, BackendEvent>;
using CreditChart = BoundChart<IssuedCredit, CreditState, CreditEvent>;
using ExecutionChart = BoundChart<Execution, ExecutionState, ExecutionEvent>;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_INTERNAL_LIFECYCLES_H
