#ifndef CYCLAMENWALK_BATCH_INTERNAL_BATCHJOB_H
#define CYCLAMENWALK_BATCH_INTERNAL_BATCHJOB_H

#include "batch/types/batchanswer.h"
#include "core/itimerservice.h"
#include "policy/types/fairshare.h"
#include "statechart/boundchart.h"

#include <set>
#include <vector>

namespace cyclamenwalk {

enum class BatchTaskState : std::uint8_t {
  Unplaced,
  Placed,
  Succeeded,
  Failed,
  Unknown
};
enum class BatchTaskEvent {
  Place,
  Succeeded,
  Failed,
  Interrupted,
  NotStarted,
  Lost
};

template <> struct ChartNames<BatchTaskState> {
  static constexpr std::array<std::string_view, 5> Values{
      "unplaced", "placed", "succeeded", "failed", "unknown"};
};
template <> struct ChartNames<BatchTaskEvent> {
  static constexpr std::array<std::string_view, 6> Values{
      "place", "succeeded", "failed", "interrupted", "notStarted", "lost"};
};

enum class BatchJobState : std::uint8_t { Running, Succeeded, Failed };
enum class BatchJobEvent { TaskSucceeded, Fail, Deadline, Cancel };

template <> struct ChartNames<BatchJobState> {
  static constexpr std::array<std::string_view, 3> Values{
      "running", "succeeded", "failed"};
};
template <> struct ChartNames<BatchJobEvent> {
  static constexpr std::array<std::string_view, 4> Values{
      "taskSucceeded", "fail", "deadline", "cancel"};
};

struct BatchJob;

struct BatchTask {
  BatchTaskState m_State = BatchTaskState::Unplaced;
  BatchJob *m_Job = nullptr;
  std::uint32_t m_Index = 0;
  /// The number of the latest run.
  std::uint32_t m_Run = 0;
  std::uint32_t m_FailedRuns = 0;
  /// The agent of the latest placement.
  Incarnation m_Agent;
};

struct BatchJob {
  BatchJobState m_State = BatchJobState::Running;
  JobId m_Id;
  BatchSpec m_Spec;
  std::vector<BatchTask> m_Tasks;
  std::uint32_t m_SucceededTasks = 0;
  /// How often tasks of the job were placed.
  std::uint32_t m_PlacementCount = 0;
  /// Whether a task is known to have started.
  bool m_HasRun = false;
  TimePoint m_SubmittedAt;
  /// The latest start of a task that meets the objective.
  TimePoint m_LatestStart;
  TimePoint m_DeadlineAt;
  TimerId m_Timer = 0;
  /// Set when fair admission decides on the job.
  ShareGroup m_Group;
  bool m_IsCountedAsServed = false;
  /// Agents on whose workers a task of this job has failed or was interrupted.
  std::set<Incarnation> m_AvoidedAgents;
  BatchAnswer m_Answer;
  std::vector<BatchCallback> m_Callbacks;
  /// Callers in m_Callbacks that have disconnected.
  std::size_t m_DisconnectedCallers = 0;
};

using BatchTaskChart = BoundChart<BatchTask, BatchTaskState, BatchTaskEvent>;
using BatchJobChart = BoundChart<BatchJob, BatchJobState, BatchJobEvent>;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_INTERNAL_BATCHJOB_H
