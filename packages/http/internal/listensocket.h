#ifndef CYCLAMENWALK_HTTP_INTERNAL_LISTENSOCKET_H
#define CYCLAMENWALK_HTTP_INTERNAL_LISTENSOCKET_H

#include <netinet/in.h>
#include <string>

namespace cyclamenwalk {

/// A socket that accepts TCP connections without blocking.
class ListenSocket {
public:
  /// Throws Error with BadAddress if \p Address is not IP:PORT.
  explicit ListenSocket(const std::string &Address);
  ListenSocket(const ListenSocket &) = delete;
  ListenSocket &operator=(const ListenSocket &) = delete;
  ~ListenSocket() { close(); }

  /// Throws Error with ListenFailed if the address is in use.
  void open();
  void close();

  /// The descriptor of a new connection, negative if there is none (see errno).
  int accept(sockaddr_in &Caller) const;

  int descriptor() const { return m_Descriptor; }

private:
  const std::string m_Text;
  sockaddr_in m_Address{};
  int m_Descriptor = -1;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_LISTENSOCKET_H
