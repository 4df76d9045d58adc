#ifndef CYCLAMENWALK_CORE_TYPES_METRIC_H
#define CYCLAMENWALK_CORE_TYPES_METRIC_H

#include "core/types/resultcode.h"

#include <cstddef>

namespace cyclamenwalk {

/// Counters of all processes. The metrics package defines their Prometheus
/// names.
enum class Metric : std::size_t {
  JobsAccepted,
  JobsSucceeded,
  JobsRefused,
  JobsUnknown,
  JobsFailed,
  JobsForwarded,
  JobsRefusedByShare,
  JobsAdmittedByShare,
  TasksSent,
  TasksSucceeded,
  TasksFailed,
  TasksUnknown,
  TasksRefused,
  TasksReplaced,
  LateResults,
  StartsExecuted,
  StartsRefused,
  CreditsGranted,
  CreditsWithdrawn,
  DemandMessagesSent,
  HeartbeatsSent,
  MessagesSent,
  MessagesReceived,
  MessagesResent,
  MessagesDuplicate,
  MessagesMalformed,
  LinkConnectionsClosed,
  LinkReadsPaused,
  BytesSent,
  Reconnects,
  WorkersEjected,
  StoreReads,
  StoreWrites,
  StoreErrors,
  OrdersUnanswered,
  OrdersNotSent,
  OrderRepeatsPrevented,
  EvacuationChanges,
  EvacuationRefusals,
  TailRuns,
  RunsMoved,
  FlappingReturns,
  RunsPassedOver,
  ReservationsMade,
  ReservationsLapsed,
  BackfilledStarts,
  SettingsReloaded,
  SettingsRejected,
  HeadersTooLarge,
  BodiesTooLarge,
  RequestsTooSlow,
  RequestsShed,
  ConnectionsRefused,
  ConnectionsShed,
  ConnectionsIdle,
  AnswersDropped,
  Count
};

/// Returns the counter for a job that ended with \p Code.
Metric jobMetricOf(ResultCode Code);

/// Latencies measured by all processes.
enum class Timing : std::size_t {
  /// From the submission of a batch job to its answer.
  BatchJob,
  /// From the placement of a task at an agent to its start.
  TaskWait,
  /// From the start order for a task to the backend server's reply.
  StartOrder,
  Count
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_METRIC_H
