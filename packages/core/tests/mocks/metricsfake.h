#ifndef CYCLAMENWALK_CORE_TESTS_MOCKS_METRICSFAKE_H
#define CYCLAMENWALK_CORE_TESTS_MOCKS_METRICSFAKE_H

#include "core/imetrics.h"

#include <array>

namespace cyclamenwalk {

/// Keeps counts in memory for assertions.
class MetricsFake final : public IMetrics {
public:
  void count(Metric Counter, std::uint64_t Amount) override {
    m_Counts[static_cast<std::size_t>(Counter)] += Amount;
  }

  void observe(Timing Latency, Duration) override {
    ++m_Observations[static_cast<std::size_t>(Latency)];
  }

  std::uint64_t of(Metric Counter) const {
    return m_Counts[static_cast<std::size_t>(Counter)];
  }

private:
  std::array<std::uint64_t, static_cast<std::size_t>(Metric::Count)> m_Counts{};
  std::array<std::uint64_t, static_cast<std::size_t>(Timing::Count)>
      m_Observations{};
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TESTS_MOCKS_METRICSFAKE_H
