#ifndef CYCLAMENWALK_HTTP_INTERNAL_DISCONNECTWATCH_H
#define CYCLAMENWALK_HTTP_INTERNAL_DISCONNECTWATCH_H

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace cyclamenwalk {

/// Detects callers that disconnect while their request is in progress. One
/// thread polls the watched sockets.
class DisconnectWatch {
public:
  using DisconnectHandler = std::function<void()>;

  DisconnectWatch();
  ~DisconnectWatch();

  /// Called when a connection was accepted, and before its socket is closed.
  void addConnection(const std::string &ConnectionId, int Socket);
  void removeConnection(const std::string &ConnectionId);

  /// Calls \p HandleDisconnect on the polling thread, at most once, if the
  /// caller disconnects before unwatch().
  void watch(const std::string &ConnectionId,
             DisconnectHandler HandleDisconnect);
  void unwatch(const std::string &ConnectionId);

  /// True also for a connection that is not open.
  bool hasDisconnected(const std::string &ConnectionId);

private:
  void run();
  void wakeUp();
  void callHandler(int Socket);

  std::mutex m_Mutex;
  std::map<std::string, int> m_Sockets;
  /// Handlers of the watched sockets.
  std::map<int, DisconnectHandler> m_Handlers;
  bool m_Stopped = false;
  /// Interrupts poll() in the thread.
  int m_WakeEvent = -1;
  std::thread m_Thread;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_DISCONNECTWATCH_H
