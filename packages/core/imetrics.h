#ifndef CYCLAMENWALK_CORE_IMETRICS_H
#define CYCLAMENWALK_CORE_IMETRICS_H

#include "core/types/metric.h"
#include "core/types/time.h"

#include <cstdint>

namespace cyclamenwalk {

/// Counters and latencies of a process. Callable from any thread.
class IMetrics {
public:
  virtual ~IMetrics() = default;

  virtual void count(Metric What, std::uint64_t Amount = 1) = 0;
  virtual void observe(Timing What, Duration Taken) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_IMETRICS_H
