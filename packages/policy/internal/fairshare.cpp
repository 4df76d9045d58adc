#include "policy/types/fairshare.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenwalk {

namespace {

/// The step of the weight to each lower priority, and the lowest weight. A
/// priority mostly acts by the order in which tasks start.
constexpr double PriorityWeightStep = 0.02;
constexpr double MinWeight = 0.5;
/// Exponents of the correction for each unit of share that a kind lacks, and a
/// width in its kind. A small gain for widths: a wide job takes the place of
/// several others.
constexpr double CorrectionGain = 20;
constexpr double WidthCorrectionGain = 3;
constexpr double MaxCorrection = 3;
/// The number of jobs at which a share counts half.
constexpr double HalfTrustedJobs = 4;
/// A job always passes that needs this part of its slack at most while cores
/// are used up to this ratio.
constexpr double LittleSlackUse = 0.25;
constexpr double MaxRoomUtilization = 0.9;
constexpr double MinSlackRatio = 0.05;

double trust(double Jobs) { return Jobs / (Jobs + HalfTrustedJobs); }

} // namespace

std::string toString(const ShareGroup &Group) {
  return Group.m_Route + "/" + Group.m_FailureDomain + "/" +
         std::to_string(Group.m_WidthClass);
}

double fairLevel(std::vector<ShareDemand> Demands, double Capacity) {
  std::erase_if(Demands,
                [](const ShareDemand &Item) { return Item.m_Offered <= 0; });
  // The highest weight is the first to be served whole as the level rises.
  std::sort(Demands.begin(), Demands.end(),
            [](const ShareDemand &Left, const ShareDemand &Right) {
              return Left.m_Weight > Right.m_Weight;
            });
  double Weighted = 0;
  for (const ShareDemand &Item : Demands)
    Weighted += Item.m_Offered * Item.m_Weight;
  for (const ShareDemand &Item : Demands) {
    double Level = Capacity / Weighted;
    if (Level * Item.m_Weight < 1)
      return std::max(Level, 0.0);
    Capacity -= Item.m_Offered;
    Weighted -= Item.m_Offered * Item.m_Weight;
  }
  return std::numeric_limits<double>::infinity();
}

double shareWeight(std::uint32_t Priority) {
  return std::max(MinWeight, 1 - PriorityWeightStep * Priority);
}

double shareCorrection(const GroupShare &Share) {
  double Lack = (Share.m_Target - Share.m_Served) * trust(Share.m_OfferedJobs);
  double LackOfWidth =
      (Share.m_Served - Share.m_ServedOfWidth) * trust(Share.m_OfferedOfWidth);
  double Exponent = CorrectionGain * Lack + WidthCorrectionGain * LackOfWidth;
  return std::clamp(std::exp(Exponent), 1 / MaxCorrection, MaxCorrection);
}

bool admitByFairShare(const ObjectiveView &View) {
  double MaxSlackUse = std::clamp(View.m_SlackRatio * View.m_ShareCorrection,
                                  MinSlackRatio, 1.0);
  bool HardlyWaits = View.m_SlackUse <= LittleSlackUse &&
                     View.m_CoreUtilization <= MaxRoomUtilization;
  return (HardlyWaits || View.m_SlackUse <= MaxSlackUse) &&
         canMeetDeadline(View);
}

} // namespace cyclamenwalk
