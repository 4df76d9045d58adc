#ifndef CYCLAMENWALK_TRANSPORT_ITRANSPORT_H
#define CYCLAMENWALK_TRANSPORT_ITRANSPORT_H

#include "message/types/messages.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cyclamenwalk {

/// Identifies a connection to the address of a peer; never 0.
using ChannelId = std::uint64_t;

/// Sends envelopes to other processes and receives theirs. Called on the
/// control thread, which it never blocks: a traffic thread encodes and sends.
class ITransport {
public:
  /// Called on the control thread for each envelope that arrives. Returns
  /// whether it belongs to a link, which shows that its sender is a peer.
  using Receiver = std::function<bool(Envelope)>;

  virtual ~ITransport() = default;

  virtual void onReceive(Receiver Hook) = 0;

  /// Opens a channel to \p Address (IP:PORT) and connects in the background.
  virtual ChannelId open(const std::string &Address) = 0;

  /// Queues \p Value for sending. It is lost when the connection breaks first.
  virtual void send(ChannelId Channel, Envelope Value) = 0;

  /// Replaces the connection of the channel by a new one.
  virtual void reconnect(ChannelId Channel) = 0;

  virtual void close(ChannelId Channel) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_ITRANSPORT_H
