#include "store/storemodule.h"

#include "store/internal/embeddedstore.h"

namespace cyclamenwalk {

std::unique_ptr<IStore> makeStore(const StoreSettings &Settings,
                                  const StoreFactory &MakeClient,
                                  IControlQueue &Control, ITimerService &Timers,
                                  IMetrics &Metrics) {
  if (Settings.m_Address.empty())
    return std::make_unique<EmbeddedStore>(Timers);
  return MakeClient(Settings, Control, Metrics);
}

} // namespace cyclamenwalk
