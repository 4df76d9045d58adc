#include "worker/internal/coldramp.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// The share of the cores that is used at first.
constexpr double InitialShare = 0.25;
/// A server that states more, or the same again and again, is not kept on the
/// ramp for longer.
constexpr Duration MaxColdTime = seconds(30);

} // namespace

void ColdRamp::update(Duration Remaining, TimePoint Now) {
  if (Remaining <= Duration::zero()) {
    m_WarmAt = std::min(m_WarmAt, Now);
    return;
  }
  if (m_ColdSince == TimePoint{})
    m_ColdSince = Now;
  m_WarmAt = std::min(Now + Remaining, m_ColdSince + MaxColdTime);
}

double ColdRamp::usableShare(TimePoint Now) const {
  if (!isCold(Now))
    return 1;
  double WarmShare = static_cast<double>((Now - m_ColdSince).count()) /
                     static_cast<double>((m_WarmAt - m_ColdSince).count());
  return InitialShare + (1 - InitialShare) * WarmShare;
}

std::int64_t ColdRamp::usableMilliCores(const Resources &Capacity,
                                        TimePoint Now) const {
  return static_cast<std::int64_t>(static_cast<double>(Capacity.m_MilliCores) *
                                   usableShare(Now));
}

} // namespace cyclamenwalk
