#ifndef CYCLAMENWALK_ENTRY_INTERNAL_OPERATORAPI_H
#define CYCLAMENWALK_ENTRY_INTERNAL_OPERATORAPI_H

#include "entry/internal/entrycontext.h"
#include "http/httpserver.h"

namespace cyclamenwalk {

/// The HTTP interface for operators, monitoring and the other entries
/// (docs/API.md).
class OperatorApi {
public:
  explicit OperatorApi(EntryContext &Context) : m_Context(Context) {}

  void addRoutes(HttpServer &Server);

private:
  using Method = HttpResponse (OperatorApi::*)(const HttpRequest &);

  /// Calls \p Handler if the request has the operator token.
  HttpServer::Handler requireToken(Method Handler);
  HttpResponse healthz(const HttpRequest &Request);
  HttpResponse readyz(const HttpRequest &Request);
  HttpResponse metrics(const HttpRequest &Request);
  HttpResponse apply(const HttpRequest &Request);
  HttpResponse configuration(const HttpRequest &Request);
  HttpResponse audit(const HttpRequest &Request);
  HttpResponse status(const HttpRequest &Request);
  HttpResponse drain(const HttpRequest &Request);
  HttpResponse peers(const HttpRequest &Request);

  EntryContext &m_Context;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_INTERNAL_OPERATORAPI_H
