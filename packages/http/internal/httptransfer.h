#ifndef CYCLAMENWALK_HTTP_INTERNAL_HTTPTRANSFER_H
#define CYCLAMENWALK_HTTP_INTERNAL_HTTPTRANSFER_H

#include "http/ihttpclient.h"

#include <curl/curl.h>

namespace cyclamenwalk {

/// One request on a curl handle, from its start to its response. Used on the
/// traffic thread only; must stay at its address until finish().
class HttpTransfer {
public:
  HttpTransfer(HttpRequest Request, Duration Timeout,
               IHttpClient::Done HandleResponse);
  ~HttpTransfer();

  /// Sets the options of \p Handle, which must have been reset.
  void configure(CURL *Handle, Duration ConnectTimeout);

  /// Completes the response, and logs the request if there is none.
  void finish(CURL *Handle, CURLcode Result);

  const HttpRequest &request() const { return m_Request; }
  HttpResponse takeResponse() { return std::move(m_Response); }
  IHttpClient::Done takeDone() { return std::move(m_HandleResponse); }

private:
  static int prepareSocket(void *Self, curl_socket_t Socket,
                           curlsocktype Purpose);
  static int prepareCopy(void *Self, char *RemoteAddress, char *LocalAddress,
                         int RemotePort, int LocalPort);
  bool mayBeSentNow();
  void setHeaders(CURL *Handle);
  void logNoResponse(CURL *Handle, CURLcode Result) const;

  HttpRequest m_Request;
  Duration m_Timeout;
  IHttpClient::Done m_HandleResponse;
  HttpResponse m_Response;
  curl_slist *m_Headers = nullptr;
  /// Whether curl may send the request again when a connection breaks.
  bool m_IsRepeatable;
  /// How often the request was passed to a connection to be written.
  unsigned m_Copies = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_HTTPTRANSFER_H
