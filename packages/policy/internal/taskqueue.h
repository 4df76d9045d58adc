#ifndef CYCLAMENWALK_POLICY_INTERNAL_TASKQUEUE_H
#define CYCLAMENWALK_POLICY_INTERNAL_TASKQUEUE_H

#include "policy/internal/workbuckets.h"
#include "policy/itaskqueue.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace cyclamenwalk {

/// Start-time fair queueing between teams: each has a virtual time that grows
/// by the work taken over its weight, and the team that is furthest behind is
/// served. All operations are logarithmic in teams and jobs.
class TaskQueue final : public ITaskQueue {
public:
  explicit TaskQueue(JobOrder Order);

  void setTeams(const TeamShares &Shares) override;
  void setSlots(std::uint32_t Slots) override;
  void add(const QueuedJob &Job, TimePoint Now) override;
  std::optional<JobId> take(bool AllowsLong) override;
  void putBack(JobId Job) override;
  void taskEnded(const std::string &Team) override;
  void remove(JobId Job) override;
  std::uint32_t waiting() const override;
  bool hasTask(bool AllowsLong) const override;
  std::optional<TimePoint> headKey() const override;
  Duration workAhead(const std::string &Team, Duration Work) const override;

private:
  enum class Class : std::size_t { Short, Long };
  static constexpr std::size_t ClassCount = 2;

  using JobKey = std::pair<TimePoint, JobId>;
  struct Team;
  using TeamKey = std::pair<Duration, Team *>;

  struct Team {
    TeamShare m_Share;
    std::uint32_t m_Running = 0;
    std::uint32_t m_Waiting = 0;
    Duration m_VirtualTime{};
    std::set<JobKey> m_Jobs[ClassCount];
    Duration m_Work{};
    WorkBuckets m_Buckets;
  };

  struct Job {
    QueuedJob m_Offer;
    Team *m_Team = nullptr;
    std::uint32_t m_Waiting = 0;
    TimePoint m_AddedAt;
    JobKey m_Key;
  };

  static Class classOf(const Job &Known);
  static bool isUnderQuota(const Team &Known);

  Team &team(const std::string &Name);
  Team *nextTeam(bool AllowsLong) const;
  Class nextClass(const Team &Next, bool AllowsLong) const;
  void changeWaiting(Job &Known, std::uint32_t Waiting);
  TimePoint orderOf(const Job &Known, std::uint32_t Waiting) const;
  void unlist(Team &Known);
  void list(Team &Known);
  void activate(Team &Known);

  const JobOrder m_Order;
  std::uint32_t m_Slots = 1;
  std::uint32_t m_Waiting = 0;
  Duration m_VirtualTime{};
  std::uint64_t m_ActiveWeight = 0;
  TeamShares m_Shares;
  std::unordered_map<std::string, std::unique_ptr<Team>> m_Teams;
  std::unordered_map<JobId, Job> m_Jobs;
  /// Teams with waiting tasks of a class that are under their quota.
  std::set<TeamKey> m_Ready[ClassCount];
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_TASKQUEUE_H
