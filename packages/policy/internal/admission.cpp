#include "policy/types/admission.h"

#include <algorithm>

namespace cyclamenwalk {

ResultCode admitByDeadline(const AdmissionView &View) {
  // Without a known slot there is nothing to estimate; the deadline bounds it.
  if (View.m_Slots == 0)
    return ResultCode::Ok;
  Duration Wait = View.m_WorkAhead / View.m_Slots;
  Duration Own = std::max(View.m_TaskTimeBound, View.m_OwnWork / View.m_Slots);
  return Wait + Own <= View.m_Remaining ? ResultCode::Ok
                                        : ResultCode::DeadlineUnreachable;
}

ResultCode admitAll(const AdmissionView &) { return ResultCode::Ok; }

} // namespace cyclamenwalk
