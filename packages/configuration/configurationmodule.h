#ifndef CYCLAMENWALK_CONFIGURATION_CONFIGURATIONMODULE_H
#define CYCLAMENWALK_CONFIGURATION_CONFIGURATIONMODULE_H

#include "configuration/iapplyservice.h"
#include "configuration/iconfigurationstore.h"
#include "core/itimerservice.h"
#include "statechart/ichartsource.h"
#include "store/iobjectstore.h"
#include "store/itableservice.h"

#include <memory>

namespace cyclamenwalk {

/// Parses the text of a configuration. Throws Error if it is not valid.
using ConfigurationParser = std::function<DesiredState(const std::string &)>;

/// Returns the digest under which the text of a configuration is stored.
std::string digestOf(const std::string &Text);

std::unique_ptr<IConfigurationStore>
makeConfigurationStore(ConfigurationParser Parse, const IChartSource &Charts);

std::unique_ptr<IApplyService>
makeApplyService(ConfigurationParser Parse, RecordCodec Codec,
                 IConfigurationStore &Store, const IChartSource &Charts,
                 ITableService &Tables, IObjectStore &Objects,
                 ITimerService &Timers);

/// Polls the head row and passes new versions to the store.
class ConfigurationWatch {
public:
  ConfigurationWatch(Duration Period, RecordCodec Codec,
                     IConfigurationStore &Store, ITableService &Tables,
                     IObjectStore &Objects, ITimerService &Timers);
  ~ConfigurationWatch();

  /// Reads the head row immediately.
  void poll();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_CONFIGURATIONMODULE_H
