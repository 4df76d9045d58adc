#ifndef CYCLAMENWALK_METRICS_METRICSREGISTRY_H
#define CYCLAMENWALK_METRICS_METRICSREGISTRY_H

#include "core/imetrics.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamenwalk {

/// The counters and latencies of a process, kept and rendered by
/// prometheus-cpp.
class MetricsRegistry final : public IMetrics {
public:
  /// \p Process and \p Domain label every series.
  MetricsRegistry(const std::string &Process, const std::string &Domain);
  ~MetricsRegistry() override;

  void count(Metric What, std::uint64_t Amount = 1) override;
  void observe(Timing What, Duration Taken) override;

  /// Adds a gauge whose \p Value is asked for at each rendering, on the
  /// rendering thread.
  void addGauge(const std::string &Name, const std::string &Help,
                std::function<double()> Value);

  /// The Prometheus text format.
  std::string render() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// The name of \p What as Prometheus shows it.
std::string metricName(Metric What);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_METRICS_METRICSREGISTRY_H
