#ifndef CYCLAMENWALK_CORE_CONTROLLOOP_H
#define CYCLAMENWALK_CORE_CONTROLLOOP_H

#include "core/icontrolqueue.h"
#include "core/itimerservice.h"

#include <cstddef>
#include <memory>

namespace cyclamenwalk {

/// Event loop of the control thread: runs queued work and timers one at a time.
/// Exceptions that they throw are logged; run() passes on those that say that
/// the program itself is wrong.
class ControlLoop final : public IControlQueue, public ITimerService {
public:
  static constexpr std::size_t DefaultCapacity = 65536;

  explicit ControlLoop(std::size_t Capacity = DefaultCapacity);
  ~ControlLoop() override;

  /// Makes the calling thread the control thread and blocks until stop().
  void run();

  /// Makes run() return after the work queued so far. Thread-safe.
  void stop();

  bool tryPost(Work Item) override;
  bool post(Work Item) override;
  TimePoint now() const override;
  TimerId subscribe(Duration Delay, Callback OnDue) override;
  TimerId subscribeEvery(Duration Period, Callback OnDue) override;
  void cancel(TimerId Id) override;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_CONTROLLOOP_H
