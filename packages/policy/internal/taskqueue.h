#ifndef CYCLAMENWALK_POLICY_INTERNAL_TASKQUEUE_H
#define CYCLAMENWALK_POLICY_INTERNAL_TASKQUEUE_H

#include "policy/internal/workbuckets.h"
#include "policy/itaskqueue.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace cyclamenwalk {

/// Start-time fair queueing between teams: the virtual time of a team advances
/// by the work taken over its weight, and the team with the lowest virtual time
/// is served. Taking and queueing tasks is logarithmic in teams and jobs.
class TaskQueue final : public ITaskQueue {
public:
  explicit TaskQueue(JobOrder Order);

  void setTeams(const TeamShares &Shares) override;
  void setSlots(std::uint32_t Slots) override;
  void add(const QueuedJob &Job, TimePoint Now) override;
  std::optional<JobId> take(bool AllowsLong) override;
  void requeue(JobId Job) override;
  void taskEnded(const std::string &Team) override;
  void remove(JobId Job) override;
  std::uint32_t waiting() const override;
  bool hasTask(bool AllowsLong) const override;
  std::optional<TimePoint> headOrderKey() const override;
  Duration workAhead(const std::string &Team, Duration Work) const override;

private:
  enum class TaskClass : std::size_t { Short, Long };
  static constexpr std::size_t TaskClassCount = 2;

  /// Order key and job.
  using JobKey = std::pair<TimePoint, JobId>;
  struct Team;
  /// Virtual time and team.
  using TeamKey = std::pair<Duration, Team *>;

  struct Team {
    TeamShare m_Share;
    std::uint32_t m_Running = 0;
    std::uint32_t m_Waiting = 0;
    Duration m_VirtualTime{};
    std::set<JobKey> m_WaitingJobs[TaskClassCount];
    /// Expected run time of all waiting tasks, summed.
    Duration m_Work{};
    WorkBuckets m_WorkBuckets;
  };

  struct Job {
    QueuedJob m_Spec;
    Team *m_Team = nullptr;
    std::uint32_t m_Waiting = 0;
    TimePoint m_AddedAt;
    JobKey m_Key;
  };

  static TaskClass classOf(const Job &Queued);
  static bool isUnderQuota(const Team &Owner);

  Team &team(const std::string &Name);
  Team *nextTeam(bool AllowsLong) const;
  TaskClass nextClass(const Team &Next, bool AllowsLong) const;
  void setWaiting(Job &Changed, std::uint32_t Waiting);
  TimePoint orderKey(const Job &Queued, std::uint32_t Waiting) const;
  /// Calls of these enclose each change of a team, as its old values are needed
  /// to find it in m_ReadyTeams and to keep m_ActiveWeight.
  void removeFromReady(Team &Changed);
  void addToReady(Team &Changed);
  void advanceIdleTeam(Team &Owner);

  const JobOrder m_Order;
  std::uint32_t m_Slots = 1;
  std::uint32_t m_Waiting = 0;
  Duration m_VirtualTime{};
  /// Sum of the weights of teams with waiting tasks.
  std::uint64_t m_ActiveWeight = 0;
  TeamShares m_Shares;
  std::unordered_map<std::string, std::unique_ptr<Team>> m_Teams;
  std::unordered_map<JobId, Job> m_Jobs;
  /// Teams below their quota that have waiting tasks of the class.
  std::set<TeamKey> m_ReadyTeams[TaskClassCount];
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_TASKQUEUE_H
