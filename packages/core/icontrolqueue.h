#ifndef CYCLAMENWALK_CORE_ICONTROLQUEUE_H
#define CYCLAMENWALK_CORE_ICONTROLQUEUE_H

#include <functional>

namespace cyclamenwalk {

/// The bounded queue through which traffic threads reach the control thread.
class IControlQueue {
public:
  using Work = std::function<void()>;

  virtual ~IControlQueue() = default;

  /// Queues \p Item; false when the queue is full or closed.
  virtual bool tryPost(Work Item) = 0;

  /// Queues \p Item, waiting for room; false when the queue is closed.
  virtual bool post(Work Item) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_ICONTROLQUEUE_H
