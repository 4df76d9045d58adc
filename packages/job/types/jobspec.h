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

/// A request of a caller, as a job of tasks.
struct JobSpec {
  std::string m_Service;
  std::string m_Kind;
  std::string m_Team;
  /// One for each task; opaque to this system.
  std::vector<std::string> m_Payloads;
  /// Time from submission; empty for the service's default.
  std::optional<Duration> m_Deadline;
  /// Expected run time of one task as the caller declares it.
  std::optional<Duration> m_DeclaredRunTime;
  std::uint32_t m_DeclaredCpus = 0;
  std::uint64_t m_DeclaredMemoryBytes = 0;
};

/// The whole answer to a job: all answers, or one failure.
struct JobAnswer {
  JobId m_Job;
  ResultCode m_Code = ResultCode::Ok;
  std::string m_Detail;
  /// In the order of the payloads; empty unless the code is Ok.
  std::vector<std::string> m_Answers;
};

using JobCallback = std::function<void(const JobAnswer &)>;

struct JobSettings {
  /// How long an answer can be fetched after its job has ended.
  Duration m_AnswerLifetime = seconds(120);
  /// Jobs that may be under way at once.
  std::size_t m_MaxJobs = 20000;
  /// Memory that ended jobs may hold until they are fetched, bytes.
  std::size_t m_MaxAnswerBytes = 256 * 1024 * 1024;
  /// Starts of one task that agents may refuse before its job fails.
  std::uint32_t m_MaxAttempts = 20;
  /// How long tasks wait for a credit before demand is stated.
  Duration m_DemandDelay = milliseconds(2);
  /// How often demand is stated while tasks wait and no credit comes; the
  /// period doubles up to the second value.
  Duration m_DemandPeriod = milliseconds(25);
  Duration m_MaxDemandPeriod = milliseconds(200);
  /// Agents that are told of demand at a time.
  std::size_t m_DemandFanout = 3;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_TYPES_JOBSPEC_H
