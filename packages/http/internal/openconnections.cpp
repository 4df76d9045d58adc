#include "http/internal/openconnections.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenwalk {

namespace {

/// The local port of \p Socket, as curl states it for a request; 0 if unknown.
int localPortOf(curl_socket_t Socket) {
  sockaddr_in Address{};
  socklen_t Length = sizeof Address;
  if (getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) != 0)
    return 0;
  return ntohs(Address.sin_port);
}

} // namespace

void OpenConnections::add(curl_socket_t Socket, std::string Server) {
  m_Servers[Socket] = std::move(Server);
}

int OpenConnections::close(curl_socket_t Socket) {
  m_Servers.erase(Socket);
  return ::close(Socket);
}

void OpenConnections::shutDownIdle(const std::string &Server,
                                   const UseTest &IsInUse) const {
  for (const auto &[Socket, SocketServer] : m_Servers)
    if (SocketServer == Server && !IsInUse(Socket, localPortOf(Socket)))
      shutdown(Socket, SHUT_RDWR);
}

} // namespace cyclamenwalk
