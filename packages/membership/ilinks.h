#ifndef CYCLAMENWALK_MEMBERSHIP_ILINKS_H
#define CYCLAMENWALK_MEMBERSHIP_ILINKS_H

#include "membership/types/peer.h"

#include <functional>
#include <string>

namespace cyclamenwalk {

/// Links to the other processes. While a link is up, messages arrive once and
/// in order, also across replaced connections.
class ILinks {
public:
  /// What happens on links, called on the control thread.
  struct Hooks {
    std::function<void(const Peer &)> m_Up;
    std::function<void(Incarnation, Message &)> m_Message;
    /// The link is gone; what was sent on it may or may not have arrived.
    std::function<void(const Peer &)> m_Down;
    /// An address that was connected to never replied.
    std::function<void(const std::string &Address)> m_Unreachable;
  };

  virtual ~ILinks() = default;

  virtual void setHooks(Hooks Calls) = 0;

  /// Opens a link to an entry at \p Address (IP:PORT); a second call for an
  /// address with a live link is ignored.
  virtual void connect(const std::string &Address) = 0;

  /// Sends to a linked peer; ignored when there is no such link.
  virtual void send(Incarnation Peer, Message Body) = 0;

  /// Closes the link in good order.
  virtual void disconnect(Incarnation Peer) = 0;

  /// Whether every message sent so far was acknowledged or its link is down.
  virtual bool isFlushed() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_ILINKS_H
