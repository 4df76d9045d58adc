#ifndef CYCLAMENWALK_BATCH_TYPES_BATCHSPEC_H
#define CYCLAMENWALK_BATCH_TYPES_BATCHSPEC_H

#include "core/types/ids.h"
#include "core/types/resources.h"
#include "core/types/resultcode.h"
#include "core/types/time.h"

#include <cstdint>
#include <functional>
#include <optional>
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
  /// How long the caller waits, from submission.
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
};

struct BatchAnswer {
  JobId m_Job;
  ResultCode m_Code = ResultCode::Ok;
  /// When the caller may retry a job that did not run.
  std::optional<Duration> m_RetryAfter;
};

using BatchCallback = std::function<void(const BatchAnswer &)>;

struct BatchSettings {
  /// Limit on jobs that run at once.
  std::size_t m_MaxJobs = 4000;
  /// The part of a caller's deadline that is reserved for sending the answer.
  Duration m_AnswerMargin = milliseconds(15);
  /// The part of the slack that is reserved for messages and rounding.
  Duration m_SlackMargin = milliseconds(10);
  /// How much longer than expected tasks may wait where they are placed.
  Duration m_WaitTolerance = milliseconds(15);
  /// Limit on the agents' periodic reports, from the processor time that this
  /// entry has for them. Reports that come with run results are not counted.
  double m_MaxReportsPerSecond = 2000;
  /// Time after which runs that were asked to stop have ended. Must be shorter
  /// than the time after which callers send a job again.
  Duration m_StopTimeout = milliseconds(1000);
  /// Factor on the run time on workers outside the rack of the data.
  double m_RemotePenalty = 1;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_TYPES_BATCHSPEC_H
