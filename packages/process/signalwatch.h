#ifndef CYCLAMENWALK_PROCESS_SIGNALWATCH_H
#define CYCLAMENWALK_PROCESS_SIGNALWATCH_H

#include <functional>
#include <memory>

namespace cyclamenwalk {

/// Waits for SIGTERM and SIGINT on a thread of its own. Made before any other
/// thread, so that all inherit the blocked signals.
class SignalWatch {
public:
  SignalWatch();
  ~SignalWatch();

  /// Calls \p Received on the watching thread for each signal from now on.
  void start(std::function<void()> Received);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROCESS_SIGNALWATCH_H
