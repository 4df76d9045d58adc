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

/// A job of equal tasks that need room on workers and is answered when all of
/// them have ended. Nothing of it is stored.
struct BatchSpec {
  /// Chosen by the caller; a job that is under way has it alone.
  std::string m_Name;
  /// How backend servers know the job; a task adds its index.
  std::string m_BackendName;
  /// The route that led here, for logs and counts.
  std::string m_Route;
  std::string m_Service;
  /// What the backend server is told to run; opaque to this system.
  std::string m_Spec;
  std::uint32_t m_Tasks = 1;
  /// What each task needs.
  Resources m_Required;
  /// Rough run time of one task.
  Duration m_Estimated{};
  /// The rack on which the data lies; empty for none.
  std::string m_Rack;
  /// How long the caller waits, from submission.
  Duration m_Deadline{};
  /// Zero goes first.
  std::uint32_t m_Priority = 0;
  /// Runs of one task that may fail before the job does.
  std::uint32_t m_MaxAttempts = 1;
  /// The objective is this factor on the run time, and the latency on top.
  double m_SlackFactor = 1;
  Duration m_TargetLatency{};
  std::uint64_t m_ConfigurationVersion = 0;
};

struct BatchAnswer {
  JobId m_Job;
  ResultCode m_Code = ResultCode::Ok;
  /// When to come back, for a job that did not run.
  std::optional<Duration> m_RetryAfter;
};

using BatchCallback = std::function<void(const BatchAnswer &)>;

struct BatchSettings {
  /// Jobs that may be under way at once.
  std::size_t m_MaxJobs = 4000;
  /// Left of a caller's patience for the way back.
  Duration m_AnswerMargin = milliseconds(15);
  /// Part of the slack that is kept for messages and rounding.
  Duration m_SlackMargin = milliseconds(10);
  /// How much longer than expected tasks may wait where they are placed.
  Duration m_WaitTolerance = milliseconds(15);
  /// Reports of agents that this entry has the processor for, beside those
  /// that come with ends.
  double m_ReportsPerSecond = 2000;
  /// Runs that are asked to stop are over after this time; shorter than the
  /// time after which callers send a job again.
  Duration m_StopTime = milliseconds(1000);
  /// Factor on the run time away from the data.
  double m_RemotePenalty = 1;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_TYPES_BATCHSPEC_H
