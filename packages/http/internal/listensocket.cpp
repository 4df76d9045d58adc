#include "http/internal/listensocket.h"

#include "core/error.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cyclamenwalk {

namespace {

sockaddr_in parseAddress(const std::string &Text) {
  sockaddr_in Parsed{};
  auto Colon = Text.rfind(':');
  std::string Host = Text.substr(0, Colon);
  unsigned long Port = 0;
  bool IsValid = Colon != std::string::npos &&
                 inet_pton(AF_INET, Host.c_str(), &Parsed.sin_addr) == 1;
  if (IsValid)
    Port = std::strtoul(Text.c_str() + Colon + 1, nullptr, 10);
  if (!IsValid || Port == 0 || Port > UINT16_MAX)
    throw Error(ResultCode::BadAddress,
                "listen address \"" + Text +
                    "\" is not IP:PORT with a port from 1 to 65535");
  Parsed.sin_family = AF_INET;
  Parsed.sin_port = htons(static_cast<std::uint16_t>(Port));
  return Parsed;
}

} // namespace

ListenSocket::ListenSocket(const std::string &Address)
    : m_Text(Address), m_Address(parseAddress(Address)) {}

void ListenSocket::open() {
  m_Descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int IsReused = 1;
  bool IsListening =
      m_Descriptor >= 0 &&
      setsockopt(m_Descriptor, SOL_SOCKET, SO_REUSEADDR, &IsReused,
                 sizeof IsReused) == 0 &&
      bind(m_Descriptor, reinterpret_cast<const sockaddr *>(&m_Address),
           sizeof m_Address) == 0 &&
      listen(m_Descriptor, SOMAXCONN) == 0;
  if (IsListening)
    return;
  close();
  throw Error(ResultCode::ListenFailed, "cannot listen on " + m_Text);
}

void ListenSocket::close() {
  if (m_Descriptor >= 0)
    ::close(std::exchange(m_Descriptor, -1));
}

int ListenSocket::accept(sockaddr_in &Caller) const {
  socklen_t Length = sizeof Caller;
  return accept4(m_Descriptor, reinterpret_cast<sockaddr *>(&Caller), &Length,
                 SOCK_NONBLOCK | SOCK_CLOEXEC);
}

} // namespace cyclamenwalk
