#ifndef CYCLAMENWALK_HTTP_TYPES_HTTPMESSAGE_H
#define CYCLAMENWALK_HTTP_TYPES_HTTPMESSAGE_H

#include <map>
#include <string>

namespace cyclamenwalk {

/// A request that a server received or a client sends.
struct HttpRequest {
  std::string m_Method = "GET";
  /// At a client the whole URL, at a server only the path.
  std::string m_Url;
  std::map<std::string, std::string> m_Headers;
  std::map<std::string, std::string> m_Query;
  /// Values of the placeholders in the path of the route.
  std::map<std::string, std::string> m_Path;
  std::string m_Body;
  /// Identifies the connection at a server; empty at a client.
  std::string m_ConnectionId;
  /// What a client's request is about, for its log; not sent.
  std::string m_Subject;

  /// The value of the header, query parameter or placeholder \p Name; empty if
  /// absent. Header names are case-insensitive.
  std::string header(const std::string &Name) const;
  std::string query(const std::string &Name) const;
  std::string path(const std::string &Name) const;
};

/// Why a client got no response.
enum class HttpFailure {
  None,
  ConnectFailed,
  /// The connection was closed or reset before the response was complete.
  ConnectionLost,
  TimedOut,
  Malformed,
  Other
};

/// The name of \p Failure in the log.
const char *toString(HttpFailure Failure);

struct HttpResponse {
  /// 0 at a client if there was no response.
  int m_Status = 200;
  /// False at a client if no copy of the request was passed to a connection,
  /// so that the server can neither have processed it nor do so later. Says
  /// nothing about earlier requests, nor whether the server is up.
  bool m_WasSent = true;
  HttpFailure m_Failure = HttpFailure::None;
  /// The connection broke after the request was written, and the client did not
  /// send it again because its method is not repeatable.
  bool m_IsRepeatPrevented = false;
  std::map<std::string, std::string> m_Headers;
  std::string m_ContentType = "application/json";
  std::string m_Body;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_TYPES_HTTPMESSAGE_H
