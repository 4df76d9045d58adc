#ifndef CYCLAMENWALK_HTTP_INTERNAL_DISCONNECTWATCH_H
#define CYCLAMENWALK_HTTP_INTERNAL_DISCONNECTWATCH_H

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace cyclamenwalk {

/// Notices that a caller has closed its connection while its request is being
/// handled. One thread waits on the sockets that are watched.
class DisconnectWatch {
public:
  using Departed = std::function<void()>;

  DisconnectWatch();
  ~DisconnectWatch();

  /// A connection was accepted, or is about to be closed.
  void opened(const std::string &Connection, int Socket);
  void closed(const std::string &Connection);

  /// Calls \p Hook on the watching thread, at most once, when the caller
  /// leaves before unwatch().
  void watch(const std::string &Connection, Departed Hook);
  void unwatch(const std::string &Connection);

  /// Whether the caller has closed the connection by now.
  bool hasDisconnected(const std::string &Connection);

private:
  void run();
  void wake();
  void notify(int Socket);

  std::mutex m_Mutex;
  std::map<std::string, int> m_Sockets;
  std::map<int, Departed> m_Watched;
  bool m_Stopped = false;
  /// Written to wake the thread up.
  int m_WakeEvent = -1;
  std::thread m_Thread;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_DISCONNECTWATCH_H
