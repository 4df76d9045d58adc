#ifndef CYCLAMENWALK_TRANSPORT_TYPES_RECEIVELIMITS_H
#define CYCLAMENWALK_TRANSPORT_TYPES_RECEIVELIMITS_H

#include "core/types/time.h"

#include <cstddef>

namespace cyclamenwalk {

/// Limits on what other processes, and unknown peers that reach the message
/// port, can make a process hold. A connection is one of an unknown peer until
/// a message from it has been accepted.
struct ReceiveLimits {
  /// Twice the connections of 300 peers, since a peer that reconnects has two
  /// until the first is found to be broken, and room for unknown peers.
  std::size_t m_MaxConnections = 1024;
  /// Bytes of incomplete messages, of all peers and of all unknown peers. At
  /// least one message of the largest size is always allowed.
  std::size_t m_PeerBytes = 16 * 1024 * 1024;
  std::size_t m_UnknownPeerBytes = 8 * 1024 * 1024;
  /// Bytes of messages from one connection, and from all, that wait for the
  /// control thread before no more are read.
  std::size_t m_WaitingBytesPerConnection = 1024 * 1024;
  std::size_t m_WaitingBytes = 8 * 1024 * 1024;
  /// After these times without an accepted message, and without any byte, a
  /// connection is closed.
  Duration m_UnknownPeerTimeout = seconds(10);
  Duration m_IdleTimeout = seconds(60);
  /// Messages of a connection that cannot be decoded before it is closed.
  std::size_t m_MaxMalformed = 16;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_TYPES_RECEIVELIMITS_H
