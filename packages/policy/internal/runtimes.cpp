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

void RunTimes::halve(Histogram &Known) {
  std::uint32_t Before = Known.m_Total;
  Known.m_Total = 0;
  for (std::uint16_t &Count : Known.m_Counts) {
    Count /= 2;
    Known.m_Total += Count;
  }
  Known.m_Sum = Known.m_Sum / Before * Known.m_Total;
}

const RunTimes::Histogram *RunTimes::find(const std::string &Service,
                                          const std::string &Kind) const {
  auto Found = m_Kinds.find(keyOf(Service, Kind));
  bool IsLearned =
      Found != m_Kinds.end() && Found->second.m_Total >= MinimumSamples;
  return IsLearned ? &Found->second : nullptr;
}

std::optional<Duration> RunTimes::mean(const std::string &Service,
                                       const std::string &Kind) const {
  const Histogram *Known = find(Service, Kind);
  if (!Known)
    return std::nullopt;
  return Known->m_Sum / Known->m_Total;
}

void RunTimes::record(const std::string &Service, const std::string &Kind,
                      Duration RunTime) {
  std::string Key = keyOf(Service, Kind);
  // Callers name the kinds, so their number needs a bound.
  if (m_Kinds.size() >= MaxKinds && !m_Kinds.count(Key))
    m_Kinds.erase(m_Kinds.begin());
  Histogram &Known = m_Kinds[Key];
  ++Known.m_Counts[bucketOf(RunTime)];
  Known.m_Sum += RunTime;
  if (++Known.m_Total >= HalveAt)
    halve(Known);
}

std::optional<Duration> RunTimes::quantile(const std::string &Service,
                                           const std::string &Kind,
                                           double Quantile) const {
  const Histogram *Learned = find(Service, Kind);
  if (!Learned)
    return std::nullopt;
  const Histogram &Known = *Learned;
  double Wanted = Quantile * Known.m_Total;
  double Seen = 0;
  std::size_t Bucket = 0;
  for (; Bucket + 1 < BucketCount; ++Bucket) {
    Seen += Known.m_Counts[Bucket];
    if (Seen >= Wanted)
      break;
  }
  return upperBound(Bucket);
}

} // namespace cyclamenwalk
