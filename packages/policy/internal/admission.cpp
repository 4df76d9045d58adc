#include "policy/types/admission.h"

#include <algorithm>

namespace cyclamenwalk {

ResultCode admitByDeadline(const AdmissionView &View) {
  // Without a known slot the wait can't be estimated; the job is admitted and
  // bounded by its deadline alone.
  if (View.m_Slots == 0)
    return ResultCode::Ok;
  Duration Wait = View.m_WorkAhead / View.m_Slots;
  Duration RunTime =
      std::max(View.m_TaskRunTimeBound, View.m_JobWork / View.m_Slots);
  return Wait + RunTime <= View.m_Remaining ? ResultCode::Ok
                                            : ResultCode::DeadlineUnreachable;
}

ResultCode admitAll(const AdmissionView &) { return ResultCode::Ok; }

} // namespace cyclamenwalk
