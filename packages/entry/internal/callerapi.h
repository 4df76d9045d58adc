#ifndef CYCLAMENWALK_ENTRY_INTERNAL_CALLERAPI_H
#define CYCLAMENWALK_ENTRY_INTERNAL_CALLERAPI_H

#include "entry/internal/entrycontext.h"
#include "http/httpserver.h"

namespace cyclamenwalk {

/// The HTTP interface for callers (docs/API.md). Handlers run on traffic
/// threads and call the services through the control queue.
class CallerApi {
public:
  explicit CallerApi(EntryContext &Context) : m_Context(Context) {}

  void addRoutes(HttpServer &Server);

private:
  HttpResponse submit(const HttpRequest &Request);
  HttpResponse submitLocally(Submission Incoming, bool IsWaiting);
  HttpResponse fetch(const HttpRequest &Request);
  HttpResponse cancel(const HttpRequest &Request);
  HttpResponse issueTicket();

  EntryContext &m_Context;
};

/// Wraps \p Handler so that exceptions become responses with problem details.
HttpServer::Handler catchErrors(HttpServer::Handler Handler);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_INTERNAL_CALLERAPI_H
