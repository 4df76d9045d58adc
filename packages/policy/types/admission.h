#ifndef CYCLAMENWALK_POLICY_TYPES_ADMISSION_H
#define CYCLAMENWALK_POLICY_TYPES_ADMISSION_H

#include "core/types/resultcode.h"
#include "core/types/time.h"

#include <cstdint>
#include <functional>

namespace cyclamenwalk {

/// What is known about a job when it is admitted or refused.
struct AdmissionView {
  /// Time until the deadline.
  Duration m_Remaining{};
  /// Expected run time of what is served first, all slots together.
  Duration m_WorkAhead{};
  /// Expected run time of the job's own tasks together.
  Duration m_OwnWork{};
  /// A high quantile of the run time of one task.
  Duration m_TaskTimeBound{};
  /// Slots that this entry can expect to use; zero while none is known.
  std::uint32_t m_Slots = 0;
};

/// Ok, or the code with which the job is refused.
using Admission = std::function<ResultCode(const AdmissionView &)>;

/// Refuses what cannot end by its deadline as the queue stands.
ResultCode admitByDeadline(const AdmissionView &View);

/// The baseline: admits everything.
ResultCode admitAll(const AdmissionView &View);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_ADMISSION_H
