#ifndef CYCLAMENWALK_TRANSPORT_INTERNAL_RECEIVELEDGER_H
#define CYCLAMENWALK_TRANSPORT_INTERNAL_RECEIVELEDGER_H

#include "transport/types/receivelimits.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cyclamenwalk {

/// Identifies an incoming connection; later connections have higher numbers.
using ConnectionId = std::uint64_t;

/// Decides which connections are accepted, read and closed, by what each of
/// them makes the process hold. Not thread-safe.
class ReceiveLedger {
public:
  /// How often expire() is called.
  static constexpr Duration CheckPeriod = milliseconds(500);

  explicit ReceiveLedger(const ReceiveLimits &Limits) : m_Limits(Limits) {}

  /// Adds a connection. When there are too many, returns the one to close: the
  /// oldest of an unknown peer, since a peer is known soon after it connects,
  /// or the new one if there are only peers.
  std::optional<ConnectionId> open(ConnectionId New);

  void close(ConnectionId Closed);

  /// Records that a message from the connection was accepted.
  void setPeer(ConnectionId Known);

  /// Records that \p Bytes of an incomplete message are kept. When those of all
  /// peers or unknown peers are too many, returns the connection among them
  /// that keeps most, which is to be closed.
  std::optional<ConnectionId> keep(ConnectionId Reader, std::size_t Bytes);

  /// Records that an incomplete message has been completed.
  void drop(ConnectionId Reader);

  /// Sets the bytes of the connection's messages that wait for the control
  /// thread.
  void setWaiting(ConnectionId Reader, std::size_t Bytes);

  /// Whether nothing is to be read from the connection for now.
  bool mustPause(ConnectionId Reader) const;

  /// Records that something arrived.
  void recordActivity(ConnectionId Reader);

  /// Records a message that cannot be decoded; true if the connection is to be
  /// closed.
  bool recordMalformed(ConnectionId Reader);

  /// Returns the connections to close because they are silent or their peers
  /// remained unknown. Counts calls instead of time, so that a pause of the
  /// process does not make its peers look silent.
  std::vector<ConnectionId> expire();

  std::size_t size() const { return m_Connections.size(); }

private:
  struct Connection {
    bool m_IsPeer = false;
    std::size_t m_KeptBytes = 0;
    std::size_t m_WaitingBytes = 0;
    std::size_t m_Malformed = 0;
    std::int64_t m_ChecksSinceOpen = 0;
    std::int64_t m_ChecksSinceActivity = 0;
  };

  std::optional<ConnectionId> largestKeeper(bool IsPeer) const;
  std::size_t &keptBytes(const Connection &Owner) {
    return Owner.m_IsPeer ? m_PeerBytes : m_UnknownPeerBytes;
  }

  const ReceiveLimits m_Limits;
  std::map<ConnectionId, Connection> m_Connections;
  std::size_t m_PeerBytes = 0;
  std::size_t m_UnknownPeerBytes = 0;
  std::size_t m_WaitingBytes = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_INTERNAL_RECEIVELEDGER_H
