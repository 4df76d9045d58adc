#ifndef CYCLAMENWALK_HTTP_INTERNAL_HTTPTRANSFER_H
#define CYCLAMENWALK_HTTP_INTERNAL_HTTPTRANSFER_H

#include "http/ihttpclient.h"
#include "http/internal/openconnections.h"

#include <curl/curl.h>

namespace cyclamenwalk {

/// One request on a curl handle, from its start to its response. Used on the
/// traffic thread only; must stay at its address until finish().
class HttpTransfer {
public:
  HttpTransfer(HttpRequest Request, Duration Timeout,
               IHttpClient::Done HandleResponse, OpenConnections &Connections);
  ~HttpTransfer();

  /// Sets the options of \p Handle, which must have been reset.
  void configure(CURL *Handle, Duration ConnectTimeout);

  /// Completes the response, and logs the request if there is none.
  void finish(CURL *Handle, CURLcode Result);

  /// Whether a connection that was opened for an earlier request has brought
  /// nothing in time: it may be dead, and others to the server with it.
  bool hasKeptConnectionTimedOut() const;

  bool uses(curl_socket_t Socket, int LocalPort) const;

  /// IP:PORT of the server.
  std::string server() const;

  HttpResponse takeResponse() { return std::move(m_Response); }
  IHttpClient::Done takeDone() { return std::move(m_HandleResponse); }

private:
  static int prepareSocket(void *Self, curl_socket_t Socket,
                           curlsocktype Purpose);
  static int closeSocket(void *Connections, curl_socket_t Socket);
  static int prepareCopy(void *Self, char *RemoteAddress, char *LocalAddress,
                         int RemotePort, int LocalPort);
  bool mayBeSentNow();
  void setHeaders(CURL *Handle);
  void logNoResponse(CURL *Handle, CURLcode Result) const;

  HttpRequest m_Request;
  Duration m_Timeout;
  IHttpClient::Done m_HandleResponse;
  OpenConnections &m_Connections;
  HttpResponse m_Response;
  curl_slist *m_Headers = nullptr;
  /// Whether curl may send the request again when a connection breaks.
  bool m_IsRepeatable;
  /// How often the request was passed to a connection to be written.
  unsigned m_Copies = 0;
  /// The connection that was opened for this request, if one was.
  curl_socket_t m_OpenedSocket = CURL_SOCKET_BAD;
  /// Identifies the connection to which the request was passed.
  int m_LocalPort = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_HTTPTRANSFER_H
