#ifndef CYCLAMENWALK_POLICY_TYPES_ADMISSION_H
#define CYCLAMENWALK_POLICY_TYPES_ADMISSION_H

#include "core/types/resultcode.h"
#include "core/types/time.h"

#include <cstdint>
#include <functional>

namespace cyclamenwalk {

/// The input of an Admission decision.
struct AdmissionView {
  /// Time until the deadline.
  Duration m_Remaining{};
  /// Expected run time of the tasks served before the job, summed over all
  /// slots.
  Duration m_WorkAhead{};
  /// Expected run time of the job's own tasks, summed.
  Duration m_JobWork{};
  /// A high quantile of the run time of one task.
  Duration m_TaskRunTimeBound{};
  /// Slots that this entry expects to use; zero if none is known yet.
  std::uint32_t m_Slots = 0;
};

/// Returns ResultCode::Ok or the code with which the job is refused.
using Admission = std::function<ResultCode(const AdmissionView &)>;

/// Refuses jobs that are not expected to end before their deadline.
ResultCode admitByDeadline(const AdmissionView &View);

/// Baseline: admits every job.
ResultCode admitAll(const AdmissionView &View);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_ADMISSION_H
