#ifndef CYCLAMENWALK_PROCESS_PROCESSLIFECYCLE_H
#define CYCLAMENWALK_PROCESS_PROCESSLIFECYCLE_H

#include "core/itimerservice.h"
#include "statechart/ichartsource.h"

#include <functional>
#include <memory>

namespace cyclamenwalk {

/// The life of a process from its start to its graceful end.
class ProcessLifecycle {
public:
  struct Hooks {
    /// Takes no new work from now on.
    std::function<void()> m_BeginDrain;
    /// Whether nothing is in flight any more.
    std::function<bool()> m_IsIdle;
    /// Says goodbye to the other processes.
    std::function<void()> m_Leave;
    /// Ends the control thread.
    std::function<void()> m_Stop;
  };

  /// A drain that is not over within \p DrainLimit ends all the same.
  ProcessLifecycle(Hooks Calls, Duration DrainLimit, const IChartSource &Charts,
                   ITimerService &Timers);
  ~ProcessLifecycle();

  /// The process is able to serve.
  void ready();

  /// Starts a drain; a second call ends it at once.
  void drain();

  /// Callable from any thread.
  bool isServing() const;

  /// The state by its name in the chart. Callable from any thread.
  const char *stateName() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROCESS_PROCESSLIFECYCLE_H
