#ifndef CYCLAMENWALK_STATECHART_ICHARTSOURCE_H
#define CYCLAMENWALK_STATECHART_ICHARTSOURCE_H

#include "statechart/chart.h"

#include <string>

namespace cyclamenwalk {

/// Where a process finds its charts.
class IChartSource {
public:
  virtual ~IChartSource() = default;

  /// The chart named \p Name; throws Error when it is missing or not valid.
  virtual Chart chart(const std::string &Name) const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STATECHART_ICHARTSOURCE_H
