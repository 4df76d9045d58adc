#ifndef CYCLAMENWALK_PLATFORM_PLATFORMMODULE_H
#define CYCLAMENWALK_PLATFORM_PLATFORMMODULE_H

#include "core/icontrolqueue.h"
#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "platform/iobjectstore.h"
#include "platform/itableservice.h"

#include <memory>
#include <string>

namespace cyclamenwalk {

struct PlatformSettings {
  /// IP:PORT of the platform's service; empty for one inside this process,
  /// which ends with it.
  std::string m_Address;
  Duration m_Timeout = seconds(2);
};

/// The platform's table service and object store.
class PlatformModule {
public:
  PlatformModule(const PlatformSettings &Settings, IControlQueue &Control,
                 ITimerService &Timers, IMetrics &Metrics);
  ~PlatformModule();

  ITableService &tables();
  IObjectStore &objects();

private:
  class Impl;
  class Embedded;
  class Remote;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PLATFORM_PLATFORMMODULE_H
