#ifndef CYCLAMENWALK_PROCESS_SIGNALWATCH_H
#define CYCLAMENWALK_PROCESS_SIGNALWATCH_H

#include <functional>
#include <memory>

namespace cyclamenwalk {

/// Waits for SIGTERM, SIGINT and SIGHUP on a separate thread. Must be created
/// before any other thread, so that all threads inherit the blocked signals.
class SignalWatch {
public:
  SignalWatch();
  ~SignalWatch();

  /// Calls \p OnTerminate for each SIGTERM and SIGINT, and \p OnReload for each
  /// SIGHUP, on the separate thread.
  void start(std::function<void()> OnTerminate,
             std::function<void()> OnReload = {});

  /// Ends the calls. Later signals are ignored.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROCESS_SIGNALWATCH_H
