#ifndef CYCLAMENWALK_HTTP_TYPES_HTTPMESSAGE_H
#define CYCLAMENWALK_HTTP_TYPES_HTTPMESSAGE_H

#include <map>
#include <string>

namespace cyclamenwalk {

/// A request, as a server receives it or a client sends it.
struct HttpRequest {
  std::string m_Method = "GET";
  /// With scheme and authority at a client, only the path at a server.
  std::string m_Url;
  std::map<std::string, std::string> m_Headers;
  std::map<std::string, std::string> m_Query;
  /// Values of the placeholders in the route's path.
  std::map<std::string, std::string> m_Path;
  std::string m_Body;
  /// The server's name for the caller's connection; empty at a client.
  std::string m_Connection;

  /// The header, query or path value with \p Name; empty when absent. Header
  /// names are compared without regard to case.
  std::string header(const std::string &Name) const;
  std::string query(const std::string &Name) const;
  std::string path(const std::string &Name) const;
};

struct HttpResponse {
  /// Zero at a client when there was no answer.
  int m_Status = 200;
  /// At a client: false when the request cannot have reached the server.
  bool m_WasSent = true;
  std::map<std::string, std::string> m_Headers;
  std::string m_ContentType = "application/json";
  std::string m_Body;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_TYPES_HTTPMESSAGE_H
