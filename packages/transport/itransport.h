#ifndef CYCLAMENWALK_TRANSPORT_ITRANSPORT_H
#define CYCLAMENWALK_TRANSPORT_ITRANSPORT_H

#include "message/types/messages.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cyclamenwalk {

/// Identifies a connection to one peer address; 0 is never handed out.
using ChannelId = std::uint64_t;

/// Carries envelopes between processes. All calls come from the control
/// thread and none blocks; encoding and sending happen on a traffic thread.
class ITransport {
public:
  /// Called on the control thread for each envelope that arrives.
  using Receiver = std::function<void(Envelope)>;

  virtual ~ITransport() = default;

  virtual void onReceive(Receiver Hook) = 0;

  /// Opens a channel to \p Address (IP:PORT); connecting goes on behind it.
  virtual ChannelId open(const std::string &Address) = 0;

  /// Queues \p Value on the channel. It may be lost with the connection.
  virtual void send(ChannelId Channel, Envelope Value) = 0;

  /// Replaces the connection of the channel by a fresh one.
  virtual void redial(ChannelId Channel) = 0;

  virtual void close(ChannelId Channel) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_ITRANSPORT_H
