#ifndef CYCLAMENWALK_POLICY_INTERNAL_RUNTIMES_H
#define CYCLAMENWALK_POLICY_INTERNAL_RUNTIMES_H

#include "policy/iruntimes.h"

#include <array>
#include <unordered_map>

namespace cyclamenwalk {

/// Histograms with buckets that grow by a constant factor. All counts are
/// halved now and then, so that a change of behaviour is learned.
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
  /// Four buckets an octave, from 1 ms to about 70 minutes.
  static constexpr std::size_t BucketsPerOctave = 4;
  static constexpr std::size_t BucketCount = 88;
  static constexpr std::uint32_t MinimumSamples = 8;
  static constexpr std::uint32_t HalveAt = 1024;
  static constexpr std::size_t MaxKinds = 10000;

  struct Histogram {
    std::array<std::uint16_t, BucketCount> m_Counts{};
    std::uint32_t m_Total = 0;
    /// Sum of the run times behind the counts.
    Duration m_Sum{};
  };

  static std::size_t bucketOf(Duration RunTime);
  static Duration upperBound(std::size_t Bucket);
  static std::string keyOf(const std::string &Service, const std::string &Kind);
  static void halve(Histogram &Known);
  const Histogram *find(const std::string &Service,
                        const std::string &Kind) const;

  std::unordered_map<std::string, Histogram> m_Kinds;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_RUNTIMES_H
