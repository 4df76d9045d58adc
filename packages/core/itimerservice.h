#ifndef CYCLAMENWALK_CORE_ITIMERSERVICE_H
#define CYCLAMENWALK_CORE_ITIMERSERVICE_H

#include "core/types/time.h"

#include <cstdint>
#include <functional>

namespace cyclamenwalk {

/// Identifies a subscription; 0 is never handed out.
using TimerId = std::uint64_t;

/// The only source of time. Callbacks run on the control thread.
class ITimerService {
public:
  using Callback = std::function<void()>;

  virtual ~ITimerService() = default;

  virtual TimePoint now() const = 0;

  /// Calls \p Due once, \p Delay from now.
  virtual TimerId subscribe(Duration Delay, Callback Due) = 0;

  /// Calls \p Due every \p Period, first one period from now.
  virtual TimerId subscribeEvery(Duration Period, Callback Due) = 0;

  /// Ends a subscription; one that is over or 0 is ignored.
  virtual void cancel(TimerId Id) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_ITIMERSERVICE_H
