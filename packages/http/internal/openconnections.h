#ifndef CYCLAMENWALK_HTTP_INTERNAL_OPENCONNECTIONS_H
#define CYCLAMENWALK_HTTP_INTERNAL_OPENCONNECTIONS_H

#include <curl/curl.h>
#include <functional>
#include <map>
#include <string>

namespace cyclamenwalk {

/// The connections that curl keeps open, by the server at their other end. Used
/// on the traffic thread only.
class OpenConnections {
public:
  /// Whether the connection with a socket and a local port is in use.
  using UseTest = std::function<bool(curl_socket_t Socket, int LocalPort)>;

  void add(curl_socket_t Socket, std::string Server);

  /// Closes \p Socket as well, like close(2).
  int close(curl_socket_t Socket);

  /// Shuts down the connections to \p Server for which \p IsInUse is false, so
  /// that curl finds them closed and opens new ones.
  void shutDownIdle(const std::string &Server, const UseTest &IsInUse) const;

private:
  std::map<curl_socket_t, std::string> m_Servers;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_OPENCONNECTIONS_H
