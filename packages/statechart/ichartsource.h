#ifndef CYCLAMENWALK_STATECHART_ICHARTSOURCE_H
#define CYCLAMENWALK_STATECHART_ICHARTSOURCE_H

#include "statechart/chart.h"

#include <string>

namespace cyclamenwalk {

/// Loads the state charts of a process by name.
class IChartSource {
public:
  virtual ~IChartSource() = default;

  /// Loads the chart \p Name; throws Error when it is missing or not valid.
  virtual Chart chart(const std::string &Name) const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STATECHART_ICHARTSOURCE_H
