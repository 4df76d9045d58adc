#ifndef CYCLAMENWALK_POLICY_TYPES_QUEUEDITEM_H
#define CYCLAMENWALK_POLICY_TYPES_QUEUEDITEM_H

#include "core/types/ids.h"
#include "core/types/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cyclamenwalk {

/// A job with tasks that wait for a slot.
struct QueuedJob {
  JobId m_Job;
  std::string m_Team;
  /// Expected run time of one task.
  Duration m_TaskTime{};
  bool m_IsLong = false;
  std::uint32_t m_Tasks = 1;
};

/// What the order within a team is decided on.
struct JobView {
  TimePoint m_AddedAt;
  /// Expected run time of all waiting tasks together.
  Duration m_RemainingWork{};
  /// Slots that the work can spread over; at least one.
  std::uint32_t m_Slots = 1;
};

/// The instant by which a team's jobs are ordered, earliest first.
using JobOrder = std::function<TimePoint(const JobView &)>;

/// Expected remaining work with ageing: a job goes before those that arrive
/// later by more than the time its own work takes.
TimePoint orderByRemainingWork(const JobView &View);

/// First in, first out.
TimePoint orderByArrival(const JobView &View);

/// What a team may use of a service.
struct TeamShare {
  std::uint32_t m_Weight = 1;
  /// Tasks that may run at once; zero for no limit.
  std::uint32_t m_Quota = 0;
};

using TeamShares = std::map<std::string, TeamShare>;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_QUEUEDITEM_H
