#ifndef CYCLAMENWALK_CORE_IMETRICS_H
#define CYCLAMENWALK_CORE_IMETRICS_H

#include "core/types/metric.h"
#include "core/types/time.h"

#include <cstdint>

namespace cyclamenwalk {

/// Records counters and latencies of a process. Thread-safe.
class IMetrics {
public:
  virtual ~IMetrics() = default;

  virtual void count(Metric Counter, std::uint64_t Amount = 1) = 0;
  virtual void observe(Timing Latency, Duration Elapsed) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_IMETRICS_H
