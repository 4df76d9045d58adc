#ifndef CYCLAMENWALK_JOB_TYPES_JOBSPEC_H
#define CYCLAMENWALK_JOB_TYPES_JOBSPEC_H

#include "core/types/ids.h"
#include "core/types/resultcode.h"
#include "core/types/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// A caller's request as a job of one or more tasks.
struct JobSpec {
  std::string m_Service;
  std::string m_Kind;
  std::string m_Team;
  /// One per task. The content is passed to the backend server unread.
  std::vector<std::string> m_Payloads;
  /// Measured from submission. Empty selects the default of the service.
  std::optional<Duration> m_Deadline;
  /// Run time of one task as declared by the caller.
  std::optional<Duration> m_DeclaredRunTime;
  std::uint32_t m_DeclaredCpus = 0;
  std::uint64_t m_DeclaredMemoryBytes = 0;
};

/// The result of a job: the answers of all its tasks, or one failure.
struct JobAnswer {
  JobId m_Job;
  ResultCode m_Code = ResultCode::Ok;
  std::string m_Detail;
  /// In the order of the payloads. Empty unless the code is Ok.
  std::vector<std::string> m_Answers;
};

using JobCallback = std::function<void(const JobAnswer &)>;

/// Limits and periods of the job service.
struct JobSettings {
  /// Time for which the answer of an ended job can be fetched.
  Duration m_AnswerLifetime = seconds(120);
  /// Maximum number of jobs in progress.
  std::size_t m_MaxJobs = 20000;
  /// Memory limit for the answers of ended jobs, in bytes.
  std::size_t m_MaxAnswerBytes = 256 * 1024 * 1024;
  /// Start attempts per task. The job fails when agents refuse all of them.
  std::uint32_t m_MaxAttempts = 20;
  /// Time that tasks wait for a credit before a Demand message is sent.
  Duration m_DemandDelay = milliseconds(2);
  /// Period of Demand messages while tasks wait. Starts at the minimum and
  /// doubles up to the maximum while no credits arrive.
  Duration m_MinDemandPeriod = milliseconds(25);
  Duration m_MaxDemandPeriod = milliseconds(200);
  /// Number of agents that one round of Demand messages goes to.
  std::size_t m_DemandFanout = 3;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_TYPES_JOBSPEC_H
