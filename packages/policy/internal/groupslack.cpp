#include "policy/types/fairshare.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwalk {

namespace {

/// Factor after a late start and step after a timely one: late work takes
/// capacity from timely work, and a low ratio holds back only its own group.
constexpr double LateStartFactor = 0.95;
constexpr double TimelyStartStep = 0.001;
constexpr double MinRatio = 0.05;
/// Without starts the ratio returns half of the way to 1 in this time, so that
/// a group that is refused altogether is tried again.
constexpr Duration RecoveryHalfLife = seconds(20);
/// Starts at which a group counts as much as its route.
constexpr double HalfTrustedStarts = 30;
constexpr std::size_t MaxGroups = 128;

} // namespace

GroupSlack::State GroupSlack::recovered(State From, TimePoint Now) {
  double Factor = std::exp2(-static_cast<double>((Now - From.m_At).count()) /
                            static_cast<double>(RecoveryHalfLife.count()));
  return {1 - (1 - From.m_Ratio) * Factor, From.m_Starts * Factor, Now};
}

void GroupSlack::update(State &Updated, bool WasLate, TimePoint Now) {
  Updated = recovered(Updated, Now);
  ++Updated.m_Starts;
  double Ratio = WasLate ? Updated.m_Ratio * LateStartFactor
                         : Updated.m_Ratio + TimelyStartStep;
  Updated.m_Ratio = std::clamp(Ratio, MinRatio, 1.0);
}

void GroupSlack::recordStart(const ShareGroup &Group, bool WasLate,
                             TimePoint Now) {
  auto Key = std::pair(Group.m_Route, Group.m_WidthClass);
  bool IsFull = m_ByClass.count(Key) == 0 && m_ByClass.size() >= MaxGroups;
  if (IsFull)
    return;
  update(m_ByRoute[Group.m_Route], WasLate, Now);
  update(m_ByClass[Key], WasLate, Now);
}

double GroupSlack::ratio(const ShareGroup &Group, TimePoint Now) const {
  auto Route = m_ByRoute.find(Group.m_Route);
  auto Class = m_ByClass.find({Group.m_Route, Group.m_WidthClass});
  if (Route == m_ByRoute.end() || Class == m_ByClass.end())
    return Route == m_ByRoute.end() ? 1 : recovered(Route->second, Now).m_Ratio;
  State Shared = recovered(Route->second, Now);
  State Own = recovered(Class->second, Now);
  return (Own.m_Ratio * Own.m_Starts + Shared.m_Ratio * HalfTrustedStarts) /
         (Own.m_Starts + HalfTrustedStarts);
}

} // namespace cyclamenwalk
