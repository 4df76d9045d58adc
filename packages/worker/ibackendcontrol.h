#ifndef CYCLAMENWALK_WORKER_IBACKENDCONTROL_H
#define CYCLAMENWALK_WORKER_IBACKENDCONTROL_H

#include "worker/types/backend.h"

#include <functional>

namespace cyclamenwalk {

/// Sends orders to a backend server, each order at most once: an order without
/// a reply is not repeated, so that a reply is the reply to the only copy.
/// Called on the control thread; each callback is called exactly once, on the
/// same thread, after the call has returned.
class IBackendControl {
public:
  virtual ~IBackendControl() = default;

  virtual void start(StartOrder Order,
                     std::function<void(OrderReply)> Done) = 0;
  virtual void stop(StopOrder Order, std::function<void(OrderReply)> Done) = 0;
  virtual void hold(HoldOrder Order, std::function<void(HoldReply)> Done) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_IBACKENDCONTROL_H
