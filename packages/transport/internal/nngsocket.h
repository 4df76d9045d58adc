#ifndef CYCLAMENWALK_TRANSPORT_INTERNAL_NNGSOCKET_H
#define CYCLAMENWALK_TRANSPORT_INTERNAL_NNGSOCKET_H

#include <nng/nng.h>
#include <string>

namespace cyclamenwalk {

/// Owns one nng socket.
class NngSocket {
public:
  /// A PUSH socket that connects to \p Address in the background. Throws Error
  /// with ListenFailed when nng cannot create the socket.
  static NngSocket dialPush(const std::string &Address);

  NngSocket() = default;
  NngSocket(NngSocket &&Other) noexcept;
  NngSocket &operator=(NngSocket &&Other) noexcept;
  ~NngSocket();

  /// Queues \p Bytes without waiting; returns false when the queue is full.
  bool trySend(const std::string &Bytes);

private:
  void close();

  nng_socket m_Socket = NNG_SOCKET_INITIALIZER;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_INTERNAL_NNGSOCKET_H
