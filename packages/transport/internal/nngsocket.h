#ifndef CYCLAMENWALK_TRANSPORT_INTERNAL_NNGSOCKET_H
#define CYCLAMENWALK_TRANSPORT_INTERNAL_NNGSOCKET_H

#include <nng/nng.h>
#include <string>

namespace cyclamenwalk {

/// Owns one nng socket.
class NngSocket {
public:
  /// A PULL socket that listens on \p Address (IP:PORT). Throws Error with
  /// ListenFailed.
  static NngSocket listenPull(const std::string &Address,
                              std::size_t MaxMessageBytes);

  /// A PUSH socket that connects to \p Address in the background. Throws Error
  /// with ListenFailed when nng cannot create the socket.
  static NngSocket dialPush(const std::string &Address);

  NngSocket() = default;
  NngSocket(NngSocket &&Other) noexcept;
  NngSocket &operator=(NngSocket &&Other) noexcept;
  ~NngSocket();

  /// Waits for a message; returns false once the socket is closed.
  bool receive(std::string &Bytes);

  /// Queues \p Bytes without waiting; returns false when the queue is full.
  bool trySend(const std::string &Bytes);

  /// Makes a receive() on another thread return.
  void close();

private:
  nng_socket m_Socket = NNG_SOCKET_INITIALIZER;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_INTERNAL_NNGSOCKET_H
