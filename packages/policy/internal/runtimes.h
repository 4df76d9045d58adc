#ifndef CYCLAMENWALK_POLICY_INTERNAL_RUNTIMES_H
#define CYCLAMENWALK_POLICY_INTERNAL_RUNTIMES_H

#include "policy/iruntimes.h"

#include <array>
#include <unordered_map>

namespace cyclamenwalk {

/// Histograms with exponentially growing buckets. The counts are halved at
/// intervals, so that recent run times outweigh old ones.
class RunTimes final : public IRunTimes {
public:
  void record(const std::string &Service, const std::string &Kind,
              Duration RunTime) override;
  std::optional<Duration> mean(const std::string &Service,
                               const std::string &Kind) const override;
  std::optional<Duration> quantile(const std::string &Service,
                                   const std::string &Kind,
                                   double Quantile) const override;

private:
  /// Four buckets per octave, from 1 ms to about 70 minutes.
  static constexpr std::size_t BucketsPerOctave = 4;
  static constexpr std::size_t BucketCount = 88;
  static constexpr std::uint32_t MinSamples = 8;
  /// The counts are halved when their total reaches this limit.
  static constexpr std::uint32_t MaxSamples = 1024;
  static constexpr std::size_t MaxKinds = 10000;

  struct Histogram {
    std::array<std::uint16_t, BucketCount> m_Counts{};
    std::uint32_t m_Total = 0;
    /// Sum of the counted run times.
    Duration m_Sum{};
  };

  static std::size_t bucketOf(Duration RunTime);
  static Duration upperBound(std::size_t Bucket);
  static std::string keyOf(const std::string &Service, const std::string &Kind);
  static void halveCounts(Histogram &Samples);
  const Histogram *find(const std::string &Service,
                        const std::string &Kind) const;

  std::unordered_map<std::string, Histogram> m_Kinds;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_RUNTIMES_H
