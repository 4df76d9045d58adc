#ifndef CYCLAMENWALK_CORE_TYPES_METRIC_H
#define CYCLAMENWALK_CORE_TYPES_METRIC_H

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

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_METRIC_H
