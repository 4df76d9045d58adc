#ifndef CYCLAMENWALK_POLICY_ITASKQUEUE_H
#define CYCLAMENWALK_POLICY_ITASKQUEUE_H

#include "policy/types/queueditem.h"

#include <optional>

namespace cyclamenwalk {

/// The tasks of one service that wait at this entry. Teams share the service
/// by weight; within a team jobs are ordered by the configured JobOrder.
class ITaskQueue {
public:
  virtual ~ITaskQueue() = default;

  /// Teams without an entry in \p Shares have weight 1 and no quota.
  virtual void setTeams(const TeamShares &Shares) = 0;

  /// Sets the expected number of usable slots, an input of the job order.
  virtual void setSlots(std::uint32_t Slots) = 0;

  virtual void add(const QueuedJob &Job, TimePoint Now) = 0;

  /// Removes the next task and returns its job. \p AllowsLong: whether the task
  /// may be a long one. The task counts against its team's quota until
  /// taskEnded() or requeue().
  virtual std::optional<JobId> take(bool AllowsLong) = 0;

  /// Queues a task again that was taken but did not start.
  virtual void requeue(JobId Job) = 0;

  /// Releases the quota of a task that was taken and has ended.
  virtual void taskEnded(const std::string &Team) = 0;

  /// Removes a job and its waiting tasks.
  virtual void remove(JobId Job) = 0;

  /// The number of waiting tasks.
  virtual std::uint32_t waiting() const = 0;

  /// Whether take() with these arguments would find a task.
  virtual bool hasTask(bool AllowsLong) const = 0;

  /// The order key of the job that take(true) would serve; the earlier, the
  /// more urgent. Empty if there is no such job.
  virtual std::optional<TimePoint> headOrderKey() const = 0;

  /// The expected run time, summed over all slots, of the tasks that would be
  /// served before a job of \p Team with \p Work.
  virtual Duration workAhead(const std::string &Team, Duration Work) const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_ITASKQUEUE_H
