#ifndef CYCLAMENWALK_METRICS_METRICSREGISTRY_H
#define CYCLAMENWALK_METRICS_METRICSREGISTRY_H

#include "core/imetrics.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamenwalk {

/// Counters, latencies and gauges of a process, implemented with
/// prometheus-cpp.
class MetricsRegistry final : public IMetrics {
public:
  /// Every time series has \p Process and \p FailureDomain as labels.
  MetricsRegistry(const std::string &Process, const std::string &FailureDomain);
  ~MetricsRegistry() override;

  void count(Metric Counter, std::uint64_t Amount = 1) override;
  void observe(Timing Latency, Duration Elapsed) override;

  /// Adds a gauge. render() calls \p ReadValue each time, on the calling
  /// thread.
  void addGauge(const std::string &Name, const std::string &Help,
                std::function<double()> ReadValue);

  /// Renders all metrics in the Prometheus text format.
  std::string render() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Returns the Prometheus name of \p Counter.
std::string metricName(Metric Counter);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_METRICS_METRICSREGISTRY_H
