#ifndef CYCLAMENWALK_ENTRY_INTERNAL_CALLERAPI_H
#define CYCLAMENWALK_ENTRY_INTERNAL_CALLERAPI_H

#include "entry/internal/entrycontext.h"
#include "http/httpserver.h"

namespace cyclamenwalk {

/// The HTTP interface for callers (docs/API.md). Handlers run on traffic
/// threads and reach the services through the control queue.
class CallerApi {
public:
  explicit CallerApi(EntryContext &Entry) : m_Entry(Entry) {}

  void addRoutes(HttpServer &Server);

private:
  HttpResponse submit(const HttpRequest &Request);
  HttpResponse submitHere(Submission Decoded, bool Waits);
  HttpResponse fetch(const HttpRequest &Request);
  HttpResponse cancel(const HttpRequest &Request);
  HttpResponse issueTicket();

  EntryContext &m_Entry;
};

/// Turns what \p Serve throws into problem details.
HttpServer::Handler guarded(HttpServer::Handler Serve);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_INTERNAL_CALLERAPI_H
