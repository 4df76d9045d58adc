#ifndef CYCLAMENWALK_JOB_INTERNAL_JOB_H
#define CYCLAMENWALK_JOB_INTERNAL_JOB_H

#include "core/itimerservice.h"
#include "job/types/jobspec.h"
#include "statechart/boundchart.h"

#include <set>
#include <vector>

namespace cyclamenwalk {

enum class TaskState : std::uint8_t {
  Waiting,
  Sent,
  Orphaned,
  Succeeded,
  Failed,
  Unknown,
  Refused,
  Abandoned
};
enum class TaskEvent { Send, Succeeded, Failed, Lost, Refused, Abandon };

template <> struct ChartNames<TaskState> {
  static constexpr std::array<std::string_view, 8> Values{
      "waiting", "sent",    "orphaned", "succeeded",
      "failed",  "unknown", "refused",  "abandoned"};
};
template <> struct ChartNames<TaskEvent> {
  static constexpr std::array<std::string_view, 6> Values{
      "send", "succeeded", "failed", "lost", "refused", "abandon"};
};

enum class JobState : std::uint8_t { Running, Succeeded, Failed, Expired };
enum class JobEvent {
  TaskSucceeded,
  TaskFailed,
  TaskUnknown,
  TaskRefused,
  Deadline,
  Cancel,
  Expire
};

template <> struct ChartNames<JobState> {
  static constexpr std::array<std::string_view, 4> Values{
      "running", "succeeded", "failed", "expired"};
};
template <> struct ChartNames<JobEvent> {
  static constexpr std::array<std::string_view, 7> Values{
      "taskSucceeded", "taskFailed", "taskUnknown", "taskRefused",
      "deadline",      "cancel",     "expire"};
};

struct Job;

struct Task {
  TaskState m_State = TaskState::Waiting;
  std::uint16_t m_Attempts = 0;
  ResultCode m_Code = ResultCode::Ok;
  Job *m_Job = nullptr;
  /// The agent of the last start attempt.
  Incarnation m_Agent;
  std::string m_Answer;
};

/// A job with its tasks and, once it has ended, its answer.
struct Job {
  JobState m_State = JobState::Running;
  JobId m_Id;
  JobSpec m_Spec;
  std::uint64_t m_ConfigurationVersion = 0;
  bool m_IsLong = false;
  std::vector<Task> m_Tasks;
  /// Indexes of waiting tasks in reverse order: the next to start is last.
  std::vector<std::uint32_t> m_Waiting;
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_Succeeded = 0;
  /// Number of tasks that ran or may have run.
  std::uint32_t m_Ran = 0;
  /// Workers on which a task of this job has failed. Only the first failure on
  /// a worker counts against its health.
  std::set<Incarnation> m_FailedWorkers;
  TimePoint m_DeadlineAt;
  TimerId m_Timer = 0;
  JobAnswer m_Answer;
  std::size_t m_AnswerBytes = 0;
  std::vector<JobCallback> m_Waiters;
};

using TaskChart = BoundChart<Task, TaskState, TaskEvent>;
using JobChart = BoundChart<Job, JobState, JobEvent>;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_INTERNAL_JOB_H
