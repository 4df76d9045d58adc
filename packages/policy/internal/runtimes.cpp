#include "policy/internal/runtimes.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwalk {

std::size_t RunTimes::bucketOf(Duration RunTime) {
  double Milliseconds =
      std::chrono::duration<double, std::milli>(RunTime).count();
  if (Milliseconds <= 1.0)
    return 0;
  auto Bucket =
      static_cast<std::size_t>(std::log2(Milliseconds) * BucketsPerOctave);
  return std::min(Bucket, BucketCount - 1);
}

Duration RunTimes::upperBound(std::size_t Bucket) {
  double Octaves = static_cast<double>(Bucket + 1) / BucketsPerOctave;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::exp2(Octaves)));
}

std::string RunTimes::keyOf(const std::string &Service,
                            const std::string &Kind) {
  return Service + '\n' + Kind;
}

void RunTimes::halveCounts(Histogram &Samples) {
  std::uint32_t OldTotal = Samples.m_Total;
  Samples.m_Total = 0;
  for (std::uint16_t &Count : Samples.m_Counts) {
    Count /= 2;
    Samples.m_Total += Count;
  }
  Samples.m_Sum = Samples.m_Sum / OldTotal * Samples.m_Total;
}

const RunTimes::Histogram *RunTimes::find(const std::string &Service,
                                          const std::string &Kind) const {
  auto It = m_Kinds.find(keyOf(Service, Kind));
  bool HasEnoughSamples =
      It != m_Kinds.end() && It->second.m_Total >= MinSamples;
  return HasEnoughSamples ? &It->second : nullptr;
}

std::optional<Duration> RunTimes::mean(const std::string &Service,
                                       const std::string &Kind) const {
  const Histogram *Samples = find(Service, Kind);
  if (!Samples)
    return std::nullopt;
  return Samples->m_Sum / Samples->m_Total;
}

void RunTimes::record(const std::string &Service, const std::string &Kind,
                      Duration RunTime) {
  std::string Key = keyOf(Service, Kind);
  // Callers choose the names of kinds, so their number must be limited.
  if (m_Kinds.size() >= MaxKinds && !m_Kinds.count(Key))
    m_Kinds.erase(m_Kinds.begin());
  Histogram &Samples = m_Kinds[Key];
  ++Samples.m_Counts[bucketOf(RunTime)];
  Samples.m_Sum += RunTime;
  if (++Samples.m_Total >= MaxSamples)
    halveCounts(Samples);
}

std::optional<Duration> RunTimes::quantile(const std::string &Service,
                                           const std::string &Kind,
                                           double Quantile) const {
  const Histogram *Found = find(Service, Kind);
  if (!Found)
    return std::nullopt;
  const Histogram &Samples = *Found;
  double Rank = Quantile * Samples.m_Total;
  double CumulativeCount = 0;
  std::size_t Bucket = 0;
  for (; Bucket + 1 < BucketCount; ++Bucket) {
    CumulativeCount += Samples.m_Counts[Bucket];
    if (CumulativeCount >= Rank)
      break;
  }
  return upperBound(Bucket);
}

} // namespace cyclamenwalk
