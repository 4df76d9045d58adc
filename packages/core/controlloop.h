#ifndef CYCLAMENWALK_CORE_CONTROLLOOP_H
#define CYCLAMENWALK_CORE_CONTROLLOOP_H

#include "core/icontrolqueue.h"
#include "core/itimerservice.h"

#include <cstddef>
#include <memory>

namespace cyclamenwalk {

/// The control thread: runs queued work and timers, one at a time.
class ControlLoop final : public IControlQueue, public ITimerService {
public:
  static constexpr std::size_t DefaultCapacity = 65536;

  explicit ControlLoop(std::size_t Capacity = DefaultCapacity);
  ~ControlLoop() override;

  /// Runs until stop() on the calling thread, which is the control thread.
  void run();

  /// Ends run() after the work queued so far. Callable from any thread.
  void stop();

  bool tryPost(Work Item) override;
  bool post(Work Item) override;
  TimePoint now() const override;
  TimerId subscribe(Duration Delay, Callback Due) override;
  TimerId subscribeEvery(Duration Period, Callback Due) override;
  void cancel(TimerId Id) override;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_CONTROLLOOP_H
