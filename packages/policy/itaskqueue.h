#ifndef CYCLAMENWALK_POLICY_ITASKQUEUE_H
#define CYCLAMENWALK_POLICY_ITASKQUEUE_H

#include "policy/types/queueditem.h"

#include <optional>

namespace cyclamenwalk {

/// The tasks of one service that wait at this entry: fair between teams,
/// ordered by expected remaining work within a team.
class ITaskQueue {
public:
  virtual ~ITaskQueue() = default;

  /// Teams that are not named have weight 1 and no quota.
  virtual void setTeams(const TeamShares &Shares) = 0;

  /// The slots that the queue can expect to use, for the order of jobs.
  virtual void setSlots(std::uint32_t Slots) = 0;

  virtual void add(const QueuedJob &Job, TimePoint Now) = 0;

  /// Takes one task; \p AllowsLong is whether it may be of the long class.
  /// The task counts against its team's quota until taskEnded() or putBack().
  virtual std::optional<JobId> take(bool AllowsLong) = 0;

  /// A task that was taken did not start and waits again.
  virtual void putBack(JobId Job) = 0;

  /// A task that was taken has ended.
  virtual void taskEnded(const std::string &Team) = 0;

  /// Drops the waiting tasks of a job.
  virtual void remove(JobId Job) = 0;

  virtual std::uint32_t waiting() const = 0;

  /// Whether take() with these arguments would find a task.
  virtual bool hasTask(bool AllowsLong) const = 0;

  /// The order key of the job that take(true) would serve; earlier is more
  /// urgent. Empty when there is none.
  virtual std::optional<TimePoint> headKey() const = 0;

  /// Expected run time of what would be served before a job of \p Team with
  /// \p Work, all slots together.
  virtual Duration workAhead(const std::string &Team, Duration Work) const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_ITASKQUEUE_H
