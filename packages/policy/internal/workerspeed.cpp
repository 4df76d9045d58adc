#include "policy/types/workerspeed.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwalk {

namespace {

constexpr double MinRunTimeRatio = 0.2;
constexpr double MaxRunTimeRatio = 8;
constexpr double Permille = 1000;
/// The number of ends that an estimate is made from.
constexpr std::size_t MaxEnds = 64;
/// When the median of this many latest ends differs from that of all by more
/// than the factor, the speed has changed and earlier ends are discarded.
constexpr std::size_t RecentEnds = 12;
constexpr double ChangeFactor = 1.7;
/// A run above this multiple of the median is a tail.
constexpr double TailFactor = 3.5;
/// Ratios are limited to the median times or divided by this.
constexpr double MaxDeviationFactor = 2;
/// The weight of the assumption that estimates are right, as a number of ends.
constexpr double PriorEnds = 4;
/// Least standard deviation of the logarithm of a ratio.
constexpr double MinSpread = 0.05;
/// Tasks of one job share the error of its estimate, so that this many ends
/// say as much as one independent end.
constexpr double EndsPerIndependentEnd = 2;
/// Workers count as different only as far as their variance exceeds what
/// chance explains by more than this many standard deviations.
constexpr double ChanceDeviations = 3;
/// Greatest ratio of the slowness of a worker to that of its kind.
constexpr double MaxFactorToKind = 5;
/// Overdue runs that are no longer taken for tails: at least this many, and
/// this share of the runs in progress.
constexpr std::size_t MinOverdueRuns = 3;
constexpr double MinOverdueShare = 0.5;

double medianOf(std::vector<double> Values) {
  auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

double logSlowness(const LearnedSpeed &Speed) {
  return std::log(std::clamp(Speed.m_SlownessPermille / Permille,
                             MinRunTimeRatio, MaxRunTimeRatio));
}

/// What is known about the workers of one kind that have had ends.
struct KindSample {
  std::vector<double> m_LogSlowness;
  /// The reciprocals of the variances that chance explains.
  std::vector<double> m_Weights;
};

/// The variance of the logarithm of one ratio, over all workers.
double pooledVariance(const std::vector<LearnedSpeed> &Workers) {
  double Sum = 0;
  double Ends = 0;
  for (const LearnedSpeed &Speed : Workers) {
    double Spread = Speed.m_SpreadPermille / Permille;
    Sum += Spread * Spread * Speed.m_Ends;
    Ends += Speed.m_Ends;
  }
  double MinVariance = MinSpread * MinSpread;
  return Ends > 0 ? std::max(Sum / Ends, MinVariance) : MinVariance;
}

double weightOf(const LearnedSpeed &Speed, double Variance) {
  return Speed.m_Ends / (Variance * EndsPerIndependentEnd);
}

KindSample sampleOf(const std::vector<LearnedSpeed> &Workers, double Variance) {
  KindSample Sample;
  for (const LearnedSpeed &Speed : Workers) {
    if (Speed.m_Ends == 0)
      continue;
    Sample.m_LogSlowness.push_back(logSlowness(Speed));
    Sample.m_Weights.push_back(weightOf(Speed, Variance));
  }
  return Sample;
}

/// The variance between workers beyond what chance explains, by the method of
/// moments; zero for workers of the same speed.
double varianceBetween(const KindSample &Sample) {
  std::size_t Count = Sample.m_Weights.size();
  if (Count < 2)
    return 0;
  double WeightSum = 0;
  double SquareSum = 0;
  double Mean = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    WeightSum += Sample.m_Weights[I];
    SquareSum += Sample.m_Weights[I] * Sample.m_Weights[I];
    Mean += Sample.m_Weights[I] * Sample.m_LogSlowness[I];
  }
  Mean /= WeightSum;
  double Observed = 0;
  for (std::size_t I = 0; I < Count; ++I)
    Observed += Sample.m_Weights[I] * (Sample.m_LogSlowness[I] - Mean) *
                (Sample.m_LogSlowness[I] - Mean);
  auto Freedom = static_cast<double>(Count - 1);
  double ByChance = Freedom + ChanceDeviations * std::sqrt(2 * Freedom);
  double Scale = WeightSum - SquareSum / WeightSum;
  return std::max(0.0, (Observed - ByChance) / Scale);
}

} // namespace

double runTimeRatio(Duration Actual, Duration Expected) {
  double Quotient =
      static_cast<double>(Actual.count()) /
      static_cast<double>(std::max<Duration::rep>(1, Expected.count()));
  return std::clamp(Quotient, MinRunTimeRatio, MaxRunTimeRatio);
}

bool SpeedEstimator::recordEnd(Duration Actual, Duration Expected) {
  double Ratio = runTimeRatio(Actual, Expected);
  bool IsTail = m_Learned.m_Ends > 0 &&
                Ratio > TailFactor * m_Learned.m_SlownessPermille / Permille;
  m_LogRatios.push_back(std::log(Ratio));
  if (m_LogRatios.size() > MaxEnds)
    m_LogRatios.pop_front();
  dropEndsBeforeChange();
  update();
  return IsTail;
}

void SpeedEstimator::dropEndsBeforeChange() {
  if (m_LogRatios.size() <= RecentEnds)
    return;
  auto Recent = m_LogRatios.end() - RecentEnds;
  double Change = medianOf({Recent, m_LogRatios.end()}) -
                  medianOf({m_LogRatios.begin(), m_LogRatios.end()});
  if (std::abs(Change) > std::log(ChangeFactor))
    m_LogRatios.erase(m_LogRatios.begin(), Recent);
}

void SpeedEstimator::update() {
  double Median = medianOf({m_LogRatios.begin(), m_LogRatios.end()});
  double Limit = std::log(MaxDeviationFactor);
  auto Count = static_cast<double>(m_LogRatios.size());
  double Sum = 0;
  double SquareSum = 0;
  for (double LogRatio : m_LogRatios) {
    double Deviation = std::clamp(LogRatio - Median, -Limit, Limit);
    Sum += Deviation;
    SquareSum += Deviation * Deviation;
  }
  double MeanDeviation = Sum / Count;
  double Variance =
      std::max(0.0, SquareSum / Count - MeanDeviation * MeanDeviation);
  m_Learned.m_SlownessPermille = static_cast<std::uint32_t>(
      std::lround(Permille * std::exp(Median + MeanDeviation)));
  m_Learned.m_SpreadPermille =
      static_cast<std::uint32_t>(std::lround(Permille * std::sqrt(Variance)));
  m_Learned.m_Ends = static_cast<std::uint32_t>(m_LogRatios.size());
}

double SpeedEstimator::slowness() const {
  double Ends = m_Learned.m_Ends;
  return std::exp(logSlowness(m_Learned) * Ends / (Ends + PriorEnds));
}

KindSpeeds shrinkToKind(const std::vector<LearnedSpeed> &Workers) {
  double Variance = pooledVariance(Workers);
  KindSample Sample = sampleOf(Workers, Variance);
  double Center =
      Sample.m_LogSlowness.empty() ? 0 : medianOf(Sample.m_LogSlowness);
  double Between = varianceBetween(Sample);
  double Limit = std::log(MaxFactorToKind);
  KindSpeeds Speeds;
  Speeds.m_Slowness = std::exp(Center);
  Speeds.m_ByWorker.reserve(Workers.size());
  for (const LearnedSpeed &Speed : Workers) {
    double Confidence = Between * weightOf(Speed, Variance);
    double Share = Confidence / (1 + Confidence);
    double Deviation = Share * (logSlowness(Speed) - Center);
    Speeds.m_ByWorker.push_back(
        std::exp(Center + std::clamp(Deviation, -Limit, Limit)));
  }
  return Speeds;
}

bool hasBecomeSlow(std::size_t Running, std::size_t Overdue) {
  return Overdue >= MinOverdueRuns &&
         static_cast<double>(Overdue) >=
             MinOverdueShare * static_cast<double>(Running);
}

} // namespace cyclamenwalk
