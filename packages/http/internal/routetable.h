#ifndef CYCLAMENWALK_HTTP_INTERNAL_ROUTETABLE_H
#define CYCLAMENWALK_HTTP_INTERNAL_ROUTETABLE_H

#include "http/httpserver.h"

#include <list>
#include <map>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// How the requests of a route are handled: by one of the two functions.
struct RouteHandler {
  HttpServer::Handler m_Handle;
  HttpServer::AsyncHandler m_HandleAsync;
  /// Whether m_Handle returns at once, so that it may run on the polling
  /// thread.
  bool m_IsQuick = false;
};

/// The routes of a server. Not changed while the server runs.
class RouteTable {
public:
  void add(const std::string &Method, const std::string &Path,
           RouteHandler Handler);
  void setDefault(RouteHandler Handler) { m_Default = std::move(Handler); }

  /// The handler for a request, whose placeholders are stored in
  /// \p Placeholders: that of the first matching route, or the default one.
  const RouteHandler &
  find(const std::string &Method, const std::string &Path,
       std::map<std::string, std::string> &Placeholders) const;

private:
  struct Route {
    std::string m_Method;
    std::vector<std::string> m_Segments;
    RouteHandler m_Handler;
  };

  std::list<Route> m_Routes;
  RouteHandler m_Default;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_ROUTETABLE_H
