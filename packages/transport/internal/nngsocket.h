#ifndef CYCLAMENWALK_TRANSPORT_INTERNAL_NNGSOCKET_H
#define CYCLAMENWALK_TRANSPORT_INTERNAL_NNGSOCKET_H

#include <nng/nng.h>
#include <string>

namespace cyclamenwalk {

/// Owns one nng socket.
class NngSocket {
public:
  /// A PULL socket that listens on \p Address (IP:PORT); throws Error.
  static NngSocket listenPull(const std::string &Address, std::size_t Limit);

  /// A PUSH socket that connects to \p Address in the background.
  static NngSocket dialPush(const std::string &Address);

  NngSocket() = default;
  NngSocket(NngSocket &&Other) noexcept;
  NngSocket &operator=(NngSocket &&Other) noexcept;
  ~NngSocket();

  /// Waits for a message; false once the socket is closed.
  bool receive(std::string &Bytes);

  /// Hands \p Bytes over without waiting; false when there is no room.
  bool trySend(const std::string &Bytes);

  /// Ends a receive() on another thread.
  void close();

private:
  nng_socket m_Socket = NNG_SOCKET_INITIALIZER;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_INTERNAL_NNGSOCKET_H
