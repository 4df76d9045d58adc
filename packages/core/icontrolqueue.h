#ifndef CYCLAMENWALK_CORE_ICONTROLQUEUE_H
#define CYCLAMENWALK_CORE_ICONTROLQUEUE_H

#include <functional>

namespace cyclamenwalk {

/// Bounded queue of work that traffic threads hand to the control thread.
class IControlQueue {
public:
  using Work = std::function<void()>;

  virtual ~IControlQueue() = default;

  /// Queues \p Item without waiting; false when the queue is full or closed.
  virtual bool tryPost(Work Item) = 0;

  /// Queues \p Item, blocking while the queue is full; false when it is closed.
  virtual bool post(Work Item) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_ICONTROLQUEUE_H
