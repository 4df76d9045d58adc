#ifndef CYCLAMENWALK_HTTP_INTERNAL_DISCONNECTWATCH_H
#define CYCLAMENWALK_HTTP_INTERNAL_DISCONNECTWATCH_H

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenwalk {

/// Detects callers that disconnect while their request is in progress. The
/// polling thread of the server waits for descriptor() and calls dispatch();
/// the other functions are thread-safe.
class DisconnectWatch {
public:
  /// Returns whether the disconnection could be passed on; if not, it is called
  /// again by the next dispatch().
  using DisconnectHandler = std::function<bool()>;

  DisconnectWatch();
  DisconnectWatch(const DisconnectWatch &) = delete;
  DisconnectWatch &operator=(const DisconnectWatch &) = delete;
  ~DisconnectWatch();

  /// Readable when dispatch() has to be called.
  int descriptor() const { return m_Epoll; }

  /// Called when a connection was accepted, and before its socket is closed.
  void addConnection(std::uint64_t Connection, int Socket);
  void removeConnection(std::uint64_t Connection);

  /// Calls \p HandleDisconnect on the polling thread if the caller disconnects
  /// before unwatch().
  void watch(std::uint64_t Connection, DisconnectHandler HandleDisconnect);
  void unwatch(std::uint64_t Connection);

  /// True also for a connection that is not open.
  bool hasDisconnected(std::uint64_t Connection);

  void dispatch();
  bool hasUndelivered() const { return !m_Undelivered.empty(); }

private:
  struct Watched {
    int m_Socket = -1;
    DisconnectHandler m_HandleDisconnect;
  };

  DisconnectHandler takeHandler(std::uint64_t Connection);
  void retryHandlers();

  const int m_Epoll;
  std::mutex m_Mutex;
  std::unordered_map<std::uint64_t, Watched> m_Connections;
  /// Handlers to call again; used on the polling thread only.
  std::vector<DisconnectHandler> m_Undelivered;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_DISCONNECTWATCH_H
