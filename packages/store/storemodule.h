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
  /// IP:PORT of the platform's service; empty for one inside this process,
  /// which ends with it.
  std::string m_Address;
  Duration m_Timeout = seconds(2);
};

/// Makes the client of the store at an address. Given by the program, so that
/// only the platform's adapter knows the protocol.
using StoreFactory = std::function<std::unique_ptr<IStore>(
    const StoreSettings &, IControlQueue &, IMetrics &)>;

/// The client that \p MakeClient makes, or a store inside this process.
std::unique_ptr<IStore> makeStore(const StoreSettings &Settings,
                                  const StoreFactory &MakeClient,
                                  IControlQueue &Control, ITimerService &Timers,
                                  IMetrics &Metrics);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STORE_STOREMODULE_H
