#ifndef CYCLAMENWALK_MESSAGE_TYPES_BATCHSPEC_H
#define CYCLAMENWALK_MESSAGE_TYPES_BATCHSPEC_H

#include "core/types/resources.h"
#include "core/types/time.h"

#include <cstdint>
#include <string>

namespace cyclamenwalk {

/// A job of equal tasks that run on workers with the required resources. It is
/// answered when all tasks have ended and is not stored.
struct BatchSpec {
  /// Chosen by the caller; unique among the jobs that have not ended.
  std::string m_Name;
  /// The name of the job at backend servers; a task adds its index.
  std::string m_BackendName;
  /// The route by which the job arrived, for logs and metrics.
  std::string m_Route;
  std::string m_Service;
  /// Passed to the backend server and not interpreted here.
  std::string m_Spec;
  std::uint32_t m_Tasks = 1;
  /// The resources of each task.
  Resources m_Required;
  /// The caller's rough estimate of the run time of one task.
  Duration m_EstimatedRunTime{};
  /// The rack that holds the data; empty for none.
  std::string m_Rack;
  /// How long the caller waits, from the arrival of the job.
  Duration m_Deadline{};
  /// Zero is the highest priority.
  std::uint32_t m_Priority = 0;
  /// Limit on runs of one task; if all of them fail, the job fails.
  std::uint32_t m_MaxAttempts = 1;
  /// The objective for a task is its estimated run time times this factor, plus
  /// m_TargetLatency.
  double m_SlackFactor = 1;
  Duration m_TargetLatency{};
  std::uint64_t m_ConfigurationVersion = 0;
  /// Time since the job arrived at the entry that its caller is connected to.
  /// Counts against m_Deadline and the objective.
  Duration m_Age{};
  /// The failure domain of that entry.
  std::string m_OriginDomain;
  /// Whether an owner has decided against the job, so that it counts as offered
  /// already.
  bool m_WasRefused = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MESSAGE_TYPES_BATCHSPEC_H
