#include "transport/internal/receiveledger.h"

#include <algorithm>

namespace cyclamenwalk {

std::optional<ConnectionId> ReceiveLedger::open(ConnectionId New) {
  m_Connections.emplace(New, Connection{});
  if (m_Connections.size() <= m_Limits.m_MaxConnections)
    return std::nullopt;
  // The peer of the new connection is unknown too, and the last of those.
  return std::find_if(m_Connections.begin(), m_Connections.end(),
                      [](const auto &Entry) { return !Entry.second.m_IsPeer; })
      ->first;
}

void ReceiveLedger::close(ConnectionId Closed) {
  drop(Closed);
  setWaiting(Closed, 0);
  m_Connections.erase(Closed);
}

void ReceiveLedger::setPeer(ConnectionId Known) {
  auto It = m_Connections.find(Known);
  if (It == m_Connections.end() || It->second.m_IsPeer)
    return;
  keptBytes(It->second) -= It->second.m_KeptBytes;
  It->second.m_IsPeer = true;
  keptBytes(It->second) += It->second.m_KeptBytes;
}

std::optional<ConnectionId> ReceiveLedger::keep(ConnectionId Reader,
                                                std::size_t Bytes) {
  auto It = m_Connections.find(Reader);
  if (It == m_Connections.end())
    return std::nullopt;
  std::size_t &Total = keptBytes(It->second);
  Total += Bytes;
  It->second.m_KeptBytes += Bytes;
  bool IsPeer = It->second.m_IsPeer;
  std::size_t Limit =
      IsPeer ? m_Limits.m_PeerBytes : m_Limits.m_UnknownPeerBytes;
  return Total > Limit ? largestKeeper(IsPeer) : std::nullopt;
}

std::optional<ConnectionId> ReceiveLedger::largestKeeper(bool IsPeer) const {
  std::optional<ConnectionId> Largest;
  std::size_t LargestBytes = 0;
  for (const auto &[Id, Current] : m_Connections)
    if (Current.m_IsPeer == IsPeer && Current.m_KeptBytes > LargestBytes) {
      Largest = Id;
      LargestBytes = Current.m_KeptBytes;
    }
  return Largest;
}

void ReceiveLedger::drop(ConnectionId Reader) {
  auto It = m_Connections.find(Reader);
  if (It == m_Connections.end())
    return;
  keptBytes(It->second) -= It->second.m_KeptBytes;
  It->second.m_KeptBytes = 0;
}

void ReceiveLedger::setWaiting(ConnectionId Reader, std::size_t Bytes) {
  auto It = m_Connections.find(Reader);
  if (It == m_Connections.end())
    return;
  m_WaitingBytes += Bytes - It->second.m_WaitingBytes;
  It->second.m_WaitingBytes = Bytes;
}

bool ReceiveLedger::mustPause(ConnectionId Reader) const {
  auto It = m_Connections.find(Reader);
  return It != m_Connections.end() &&
         (It->second.m_WaitingBytes > m_Limits.m_WaitingBytesPerConnection ||
          m_WaitingBytes > m_Limits.m_WaitingBytes);
}

void ReceiveLedger::recordActivity(ConnectionId Reader) {
  auto It = m_Connections.find(Reader);
  if (It != m_Connections.end())
    It->second.m_ChecksSinceActivity = 0;
}

bool ReceiveLedger::recordMalformed(ConnectionId Reader) {
  auto It = m_Connections.find(Reader);
  return It != m_Connections.end() &&
         ++It->second.m_Malformed > m_Limits.m_MaxMalformed;
}

std::vector<ConnectionId> ReceiveLedger::expire() {
  std::vector<ConnectionId> Expired;
  for (auto &[Id, Current] : m_Connections) {
    ++Current.m_ChecksSinceOpen;
    ++Current.m_ChecksSinceActivity;
    bool IsUnknown =
        !Current.m_IsPeer && Current.m_ChecksSinceOpen * CheckPeriod >=
                                 m_Limits.m_UnknownPeerTimeout;
    if (IsUnknown ||
        Current.m_ChecksSinceActivity * CheckPeriod >= m_Limits.m_IdleTimeout)
      Expired.push_back(Id);
  }
  return Expired;
}

} // namespace cyclamenwalk
