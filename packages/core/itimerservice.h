#ifndef CYCLAMENWALK_CORE_ITIMERSERVICE_H
#define CYCLAMENWALK_CORE_ITIMERSERVICE_H

#include "core/types/time.h"

#include <cstdint>
#include <functional>

namespace cyclamenwalk {

/// Identifies a timer; 0 is never assigned.
using TimerId = std::uint64_t;

/// Clock and timers of the control thread, on which callbacks run. Control code
/// reads the time nowhere else.
class ITimerService {
public:
  using Callback = std::function<void()>;

  virtual ~ITimerService() = default;

  virtual TimePoint now() const = 0;

  /// Calls \p OnDue once, \p Delay from now.
  virtual TimerId subscribe(Duration Delay, Callback OnDue) = 0;

  /// Calls \p OnDue every \p Period, for the first time after one period.
  virtual TimerId subscribeEvery(Duration Period, Callback OnDue) = 0;

  /// Cancels a timer. Ignores 0 and timers that are no longer active.
  virtual void cancel(TimerId Id) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_ITIMERSERVICE_H
