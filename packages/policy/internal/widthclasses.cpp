#include "policy/types/fairshare.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwalk {

namespace {

constexpr double StepsPerDoubling = 8;
constexpr double WidestPart = 0.1;
constexpr double WidePart = 0.3;
constexpr std::uint32_t UsualClass = 0;
constexpr std::uint32_t WideClass = 1;
constexpr std::uint32_t WidestClass = 2;
/// Jobs that must be known before any counts as wide.
constexpr double MinKnownJobs = 20;
/// Weights are halved at this total, so that the classes follow changes.
constexpr double MaxTotalWeight = 1000;
constexpr std::size_t MaxRoutes = 64;

} // namespace

std::uint32_t WidthClasses::classify(const std::string &Route,
                                     std::int64_t MilliCores) {
  bool IsNew = m_WidthsByRoute.count(Route) == 0;
  if (IsNew && m_WidthsByRoute.size() >= MaxRoutes)
    return UsualClass;
  Widths &Known = m_WidthsByRoute[Route];
  double Width = static_cast<double>(std::max<std::int64_t>(1, MilliCores));
  int Step = static_cast<int>(std::lround(StepsPerDoubling * std::log2(Width)));
  ++Known.m_Weights[Step];
  if (++Known.m_Total > MaxTotalWeight) {
    Known.m_Total /= 2;
    for (auto &Item : Known.m_Weights)
      Item.second /= 2;
  }
  if (Known.m_Total < MinKnownJobs)
    return UsualClass;
  // Half of the jobs of the same width count as wider.
  double Wider = Known.m_Weights[Step] / 2;
  for (auto It = Known.m_Weights.upper_bound(Step); It != Known.m_Weights.end();
       ++It)
    Wider += It->second;
  if (Wider <= WidestPart * Known.m_Total)
    return WidestClass;
  return Wider <= WidePart * Known.m_Total ? WideClass : UsualClass;
}

} // namespace cyclamenwalk
