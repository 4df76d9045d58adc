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

  /// Whether every message on the links that are up has been acknowledged.
  virtual bool isFlushed() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_ILINKS_H
