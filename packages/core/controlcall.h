#ifndef CYCLAMENWALK_CORE_CONTROLCALL_H
#define CYCLAMENWALK_CORE_CONTROLCALL_H

#include "core/error.h"
#include "core/icontrolqueue.h"
#include "core/types/time.h"

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <utility>

namespace cyclamenwalk {

/// Runs \p Ask on the control thread and waits on this traffic thread for the
/// value that it gives to its argument. Throws Error with Overloaded when the
/// queue is full; empty when no value came within \p Limit.
template <typename T>
std::optional<T> callControl(IControlQueue &Control, Duration Limit,
                             std::function<void(std::function<void(T)>)> Ask) {
  auto Promise = std::make_shared<std::promise<T>>();
  auto Given = std::make_shared<bool>(false);
  std::future<T> Future = Promise->get_future();
  auto Give = [Promise, Given](T Value) {
    // Runs on the control thread only; a second value is dropped.
    if (!std::exchange(*Given, true))
      Promise->set_value(std::move(Value));
  };
  bool IsQueued = Control.tryPost(
      [Ask = std::move(Ask), Give = std::move(Give)] { Ask(Give); });
  if (!IsQueued)
    throw Error(ResultCode::Overloaded, "the control queue is full");
  Promise.reset();
  if (Future.wait_for(Limit) != std::future_status::ready)
    return std::nullopt;
  return Future.get();
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_CONTROLCALL_H
