#ifndef CYCLAMENWALK_MEMBERSHIP_ILINKS_H
#define CYCLAMENWALK_MEMBERSHIP_ILINKS_H

#include "membership/types/peer.h"

#include <functional>
#include <string>

namespace cyclamenwalk {

/// Links to the other processes. While a link is up, messages arrive exactly
/// once and in order, even when its connection is replaced.
class ILinks {
public:
  /// Called on the control thread.
  struct Hooks {
    std::function<void(const Peer &)> m_OnLinkUp;
    std::function<void(Incarnation, Message &)> m_OnMessage;
    /// Messages sent on the link may or may not have arrived.
    std::function<void(const Peer &)> m_OnLinkDown;
    /// No reply came from an address passed to connect().
    std::function<void(const std::string &Address)> m_OnUnreachable;
    /// When all processes on whose behalf this one acts were confirmed alive,
    /// which agents are told; TimePoint::max() for none. May be left empty.
    std::function<TimePoint()> m_CallersAliveAt = nullptr;
    /// Whether this process acts on behalf of an entry, so that it needs
    /// confirmation that the entry is alive. Left empty, it acts for all
    /// entries.
    std::function<bool(Incarnation)> m_ActsFor = nullptr;
  };

  virtual ~ILinks() = default;

  virtual void setHooks(Hooks NewHooks) = 0;

  /// Opens a link to an entry at \p Address (IP:PORT); ignored when a link
  /// to this address exists.
  virtual void connect(const std::string &Address) = 0;

  /// Sends to a linked peer; ignored when there is no link to it.
  virtual void send(Incarnation To, Message Body) = 0;

  /// Closes the link after sending Goodbye.
  virtual void disconnect(Incarnation To) = 0;

  /// A time at which the peer was alive and before which it has sent no message
  /// that is still to come. It is confirmed by the echo of an own message, so
  /// that no delay on the way and no pause of either process makes it too late.
  /// Zero while nothing is confirmed.
  virtual TimePoint confirmedAliveAt(Incarnation Peer) const = 0;

  /// The same for the peer and all processes on whose behalf it acts.
  virtual TimePoint callersAliveAt(Incarnation Peer) const = 0;

  /// Whether every message on the links that are up has been acknowledged.
  virtual bool isFlushed() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_ILINKS_H
