#ifndef CYCLAMENWALK_POLICY_TYPES_QUEUEDITEM_H
#define CYCLAMENWALK_POLICY_TYPES_QUEUEDITEM_H

#include "core/types/ids.h"
#include "core/types/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cyclamenwalk {

/// A job whose tasks wait for slots.
struct QueuedJob {
  JobId m_Job;
  std::string m_Team;
  /// Expected run time of one task.
  Duration m_TaskRunTime{};
  bool m_IsLong = false;
  std::uint32_t m_Tasks = 1;
};

/// The input of a JobOrder.
struct JobView {
  TimePoint m_AddedAt;
  /// Expected run time of all waiting tasks, summed.
  Duration m_RemainingWork{};
  /// Slots over which the work can be spread; at least one.
  std::uint32_t m_Slots = 1;
};

/// Returns the order key of a job within its team; the earliest is served
/// first.
using JobOrder = std::function<TimePoint(const JobView &)>;

/// Shortest expected remaining work first, with ageing: a job precedes jobs
/// that arrive later than it by more than the run time of its own work.
TimePoint orderByRemainingWork(const JobView &View);

/// First in, first out.
TimePoint orderByArrival(const JobView &View);

/// The weight and quota of a team for one service.
struct TeamShare {
  std::uint32_t m_Weight = 1;
  /// Tasks that may run at once; zero for no limit.
  std::uint32_t m_Quota = 0;
};

using TeamShares = std::map<std::string, TeamShare>;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_QUEUEDITEM_H
