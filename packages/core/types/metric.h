#ifndef CYCLAMENWALK_CORE_TYPES_METRIC_H
#define CYCLAMENWALK_CORE_TYPES_METRIC_H

#include "core/types/resultcode.h"

#include <cstddef>

namespace cyclamenwalk {

/// What the processes count; the metrics package names each for Prometheus.
enum class Metric : std::size_t {
  JobsAccepted,
  JobsSucceeded,
  JobsRefused,
  JobsUnknown,
  JobsFailed,
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
  DemandSent,
  HeartbeatsSent,
  MessagesSent,
  MessagesReceived,
  MessagesResent,
  MessagesDuplicate,
  MessagesMalformed,
  BytesSent,
  Redials,
  WorkersEjected,
  StoreReads,
  StoreWrites,
  StoreErrors,
  Count
};

/// Under which a job that ended with \p Code is counted.
Metric metricOf(ResultCode Code);

/// What the processes measure as latency.
enum class Timing : std::size_t {
  /// From the submission of a batch job to its answer.
  BatchJob,
  /// From the placement of a task at an agent to its start.
  TaskWait,
  /// From the order to start a task to the backend server's reply.
  StartOrder,
  Count
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_METRIC_H
