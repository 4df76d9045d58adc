#ifndef CYCLAMENWALK_STATECHART_CHART_H
#define CYCLAMENWALK_STATECHART_CHART_H

#include "statechart/types/chartdata.h"

#include <memory>
#include <string>

namespace cyclamenwalk {

/// A validated state chart. docs/CHARTS.md describes the supported subset of
/// SCXML.
class Chart {
public:
  /// Reads \p File; throws Error with a 11xx code when it is not valid.
  static Chart load(const std::string &File);

  /// Parses \p Text; throws like load(). \p Name identifies the chart in
  /// errors.
  static Chart parse(const std::string &Text, const std::string &Name);

  const ChartData &data() const;

private:
  class Impl;
  explicit Chart(std::shared_ptr<const Impl> Data);
  /// Shared by copies; a chart does not change.
  std::shared_ptr<const Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STATECHART_CHART_H
