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

/// Runs \p Request on the control thread and blocks the calling traffic thread
/// until \p Request passes a value to its argument. Returns nothing when that
/// takes longer than \p Timeout; throws Error with Overloaded when the control
/// queue is full.
template <typename T>
std::optional<T>
callControl(IControlQueue &Control, Duration Timeout,
            std::function<void(std::function<void(T)>)> Request) {
  auto Promise = std::make_shared<std::promise<T>>();
  auto IsCompleted = std::make_shared<bool>(false);
  std::future<T> Future = Promise->get_future();
  auto Complete = [Promise, IsCompleted](T Value) {
    // Called on the control thread only; values after the first are ignored.
    if (!std::exchange(*IsCompleted, true))
      Promise->set_value(std::move(Value));
  };
  bool IsQueued =
      Control.tryPost([Request = std::move(Request),
                       Complete = std::move(Complete)] { Request(Complete); });
  if (!IsQueued)
    throw Error(ResultCode::Overloaded, "the control queue is full");
  Promise.reset();
  if (Future.wait_for(Timeout) != std::future_status::ready)
    return std::nullopt;
  return Future.get();
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_CONTROLCALL_H
