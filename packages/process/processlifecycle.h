#ifndef CYCLAMENWALK_PROCESS_PROCESSLIFECYCLE_H
#define CYCLAMENWALK_PROCESS_PROCESSLIFECYCLE_H

#include "core/itimerservice.h"
#include "statechart/ichartsource.h"

#include <functional>
#include <memory>

namespace cyclamenwalk {

/// The lifecycle of a process from its start to its graceful shutdown.
class ProcessLifecycle {
public:
  struct Hooks {
    /// Stops taking new work.
    std::function<void()> m_BeginDrain;
    /// Whether no work is in flight.
    std::function<bool()> m_IsIdle;
    /// Closes the links to the other processes.
    std::function<void()> m_Leave;
    /// Stops the control thread.
    std::function<void()> m_Stop;
  };

  /// A drain ends after \p DrainLimit even when work is still in flight.
  ProcessLifecycle(Hooks NewHooks, Duration DrainLimit,
                   const IChartSource &Charts, ITimerService &Timers);
  ~ProcessLifecycle();

  /// Changes the limit of a drain that has not begun.
  void setDrainLimit(Duration DrainLimit);

  /// Starts to serve, after startup is complete.
  void ready();

  /// Starts a drain; a second call stops the process at once.
  void drain();

  /// Callable from any thread.
  bool isServing() const;

  /// The name of the state in the chart. Callable from any thread.
  const char *stateName() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROCESS_PROCESSLIFECYCLE_H
