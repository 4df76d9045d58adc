#ifndef CYCLAMENWALK_STATECHART_CHARTFOLDER_H
#define CYCLAMENWALK_STATECHART_CHARTFOLDER_H

#include "statechart/ichartsource.h"

#include <map>
#include <mutex>

namespace cyclamenwalk {

/// Loads charts from files NAME.scxml in one folder, each once, so that a
/// process keeps the charts that it was started with.
class ChartFolder final : public IChartSource {
public:
  explicit ChartFolder(std::string Path) : m_Path(std::move(Path)) {}

  Chart chart(const std::string &Name) const override;

  /// Loads all charts of the folder; throws Error when one is not valid.
  void preload() const;

private:
  const std::string m_Path;
  mutable std::mutex m_Mutex;
  mutable std::map<std::string, Chart> m_Loaded;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STATECHART_CHARTFOLDER_H
