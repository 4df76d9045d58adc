#ifndef CYCLAMENWALK_STORE_STOREMODULE_H
#define CYCLAMENWALK_STORE_STOREMODULE_H

#include "core/icontrolqueue.h"
#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "store/istore.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamenwalk {

struct StoreSettings {
  /// IP:PORT of the platform's store; empty for a store in the memory of this
  /// process, whose contents are lost when it exits.
  std::string m_Address;
  Duration m_Timeout = seconds(2);
};

/// Makes a client of the store at an address. Passed in by the program, so that
/// only the platform's adapter depends on the store's protocol.
using StoreFactory = std::function<std::unique_ptr<IStore>(
    const StoreSettings &, IControlQueue &, IMetrics &)>;

/// Makes a client with \p MakeClient, or an in-process store when \p Settings
/// has no address.
std::unique_ptr<IStore> makeStore(const StoreSettings &Settings,
                                  const StoreFactory &MakeClient,
                                  IControlQueue &Control, ITimerService &Timers,
                                  IMetrics &Metrics);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STORE_STOREMODULE_H
