#ifndef CYCLAMENWALK_CORE_TESTS_MOCKS_IMMEDIATEQUEUE_H
#define CYCLAMENWALK_CORE_TESTS_MOCKS_IMMEDIATEQUEUE_H

#include "core/icontrolqueue.h"

namespace cyclamenwalk {

/// Runs posted work at once, on the posting thread.
class ImmediateQueue final : public IControlQueue {
public:
  bool tryPost(Work Item) override { return post(std::move(Item)); }
  bool post(Work Item) override {
    Item();
    return true;
  }
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TESTS_MOCKS_IMMEDIATEQUEUE_H
