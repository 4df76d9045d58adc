#ifndef CYCLAMENWALK_HTTP_TESTS_MOCKS_RAWCALLER_H
#define CYCLAMENWALK_HTTP_TESTS_MOCKS_RAWCALLER_H

#include <arpa/inet.h>
#include <array>
#include <cstdint>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenwalk {

/// A client that sends bytes as they are to a server on this machine.
class RawCaller {
public:
  explicit RawCaller(std::uint16_t Port)
      : m_Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    timeval Timeout{5, 0};
    setsockopt(m_Socket, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof Timeout);
    setsockopt(m_Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof Timeout);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_IsConnected = connect(m_Socket, reinterpret_cast<sockaddr *>(&Address),
                            sizeof Address) == 0;
  }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;
  ~RawCaller() { close(m_Socket); }

  /// Sends as much as the server takes.
  void send(const std::string &Text) const {
    std::size_t Sent = 0;
    while (m_IsConnected && Sent < Text.size()) {
      ssize_t Length = ::send(m_Socket, Text.data() + Sent, Text.size() - Sent,
                              MSG_NOSIGNAL);
      if (Length <= 0)
        return;
      Sent += static_cast<std::size_t>(Length);
    }
  }

  /// What arrives until the server closes the connection, or is silent for 5 s.
  std::string receive() const {
    std::string Received;
    std::array<char, 4096> Buffer{};
    for (ssize_t Length = 0;
         (Length = recv(m_Socket, Buffer.data(), Buffer.size(), 0)) > 0;)
      Received.append(Buffer.data(), static_cast<std::size_t>(Length));
    return Received;
  }

  /// Closes the connection with a reset at the end of the object's life.
  void reset() const {
    linger Abort{1, 0};
    setsockopt(m_Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
  }

private:
  const int m_Socket;
  bool m_IsConnected = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_TESTS_MOCKS_RAWCALLER_H
