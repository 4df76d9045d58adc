#ifndef CYCLAMENWALK_STATECHART_CHARTFOLDER_H
#define CYCLAMENWALK_STATECHART_CHARTFOLDER_H

#include "statechart/ichartsource.h"

namespace cyclamenwalk {

/// Loads charts from files NAME.scxml in one folder.
class ChartFolder final : public IChartSource {
public:
  explicit ChartFolder(std::string Path) : m_Path(std::move(Path)) {}

  Chart chart(const std::string &Name) const override {
    return Chart::load(m_Path + "/" + Name + ".scxml");
  }

private:
  std::string m_Path;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STATECHART_CHARTFOLDER_H
