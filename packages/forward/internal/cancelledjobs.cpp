#include "forward/internal/cancelledjobs.h"

#include "core/log.h"

namespace cyclamenwalk {

CancelledJobs::~CancelledJobs() {
  for (const auto &Item : m_Refused)
    m_Timers.cancel(Item.second);
}

void CancelledJobs::refuse(const std::string &Name) {
  TimerId &Timer = m_Refused[Name];
  m_Timers.cancel(Timer);
  Timer = m_Timers.subscribe(m_Settings.m_RefusalTime,
                             [this, Name] { m_Refused.erase(Name); });
}

JobId CancelledJobs::submit(BatchSpec Spec, BatchCallback Callback) {
  if (m_Refused.count(Spec.m_Name) == 0)
    return m_Jobs.submit(std::move(Spec), std::move(Callback));
  logEvent(LogLevel::Info, "job.refused_as_cancelled",
           {{"job", Spec.m_Name}, {"age_ms", toMilliseconds(Spec.m_Age)}});
  Callback({{}, ResultCode::CancelledBeforeStart, std::nullopt});
  return {};
}

} // namespace cyclamenwalk
