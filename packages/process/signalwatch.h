#ifndef CYCLAMENWALK_PROCESS_SIGNALWATCH_H
#define CYCLAMENWALK_PROCESS_SIGNALWATCH_H

#include <functional>
#include <memory>

namespace cyclamenwalk {

/// Waits for SIGTERM, SIGINT and SIGHUP on a thread of its own. Made before any
/// other thread, so that all inherit the blocked signals.
class SignalWatch {
public:
  SignalWatch();
  ~SignalWatch();

  /// Calls \p Ending on the watching thread for each SIGTERM and SIGINT from
  /// now on, and \p Reload for each SIGHUP.
  void start(std::function<void()> Ending, std::function<void()> Reload = {});

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROCESS_SIGNALWATCH_H
