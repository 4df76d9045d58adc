#ifndef CYCLAMENWALK_TRANSPORT_INTERNAL_MESSAGERECEIVER_H
#define CYCLAMENWALK_TRANSPORT_INTERNAL_MESSAGERECEIVER_H

#include "core/icontrolqueue.h"
#include "core/imetrics.h"
#include "message/types/messages.h"
#include "transport/transportmodule.h"

#include <functional>
#include <memory>

namespace cyclamenwalk {

/// The traffic thread that accepts the connections of other processes, receives
/// and decodes their messages, and hands them to the control thread.
class MessageReceiver {
public:
  /// Called on the control thread; returns whether the sender is a peer.
  using Handler = std::function<bool(Envelope)>;

  /// Throws Error with ListenFailed when it cannot listen.
  MessageReceiver(const TransportSettings &Settings, IControlQueue &Control,
                  IMetrics &Metrics, Handler HandleMessage);
  ~MessageReceiver();

  /// Closes all connections and joins the thread.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_INTERNAL_MESSAGERECEIVER_H
