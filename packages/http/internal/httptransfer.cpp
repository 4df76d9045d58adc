#include "http/internal/httptransfer.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Target) {
  static_cast<std::string *>(Target)->append(Data, Size * Count);
  return Size * Count;
}

/// Rounded up, as curl takes 0 for no timeout.
long wholeMilliseconds(Duration Timeout) {
  auto Rounded = std::chrono::ceil<milliseconds>(Timeout);
  return static_cast<long>(std::max(Rounded, milliseconds(1)).count());
}

HttpFailure toFailure(CURLcode Result) {
  switch (Result) {
  case CURLE_OK:
    return HttpFailure::None;
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
    return HttpFailure::ConnectFailed;
  case CURLE_SEND_ERROR:
  case CURLE_RECV_ERROR:
  case CURLE_GOT_NOTHING:
  case CURLE_PARTIAL_FILE:
    return HttpFailure::ConnectionLost;
  case CURLE_OPERATION_TIMEDOUT:
    return HttpFailure::TimedOut;
  case CURLE_WEIRD_SERVER_REPLY:
  case CURLE_UNSUPPORTED_PROTOCOL:
    return HttpFailure::Malformed;
  default:
    return HttpFailure::Other;
  }
}

} // namespace

HttpTransfer::HttpTransfer(HttpRequest Request, Duration Timeout,
                           IHttpClient::Done HandleResponse,
                           OpenConnections &Connections)
    : m_Request(std::move(Request)), m_Timeout(Timeout),
      m_HandleResponse(std::move(HandleResponse)), m_Connections(Connections),
      m_IsRepeatable(m_Request.m_Method == "GET") {}

HttpTransfer::~HttpTransfer() { curl_slist_free_all(m_Headers); }

void HttpTransfer::configure(CURL *Handle, Duration ConnectTimeout) {
  curl_easy_setopt(Handle, CURLOPT_URL, m_Request.m_Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, m_Request.m_Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, wholeMilliseconds(m_Timeout));
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   wholeMilliseconds(ConnectTimeout));
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTFUNCTION, &prepareSocket);
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTDATA, this);
  // The callback of the request for which a connection was opened closes it,
  // at any time later.
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
  curl_easy_setopt(Handle, CURLOPT_CLOSESOCKETDATA, &m_Connections);
  curl_easy_setopt(Handle, CURLOPT_PREREQFUNCTION, &prepareCopy);
  curl_easy_setopt(Handle, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &appendBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &m_Response.m_Body);
  if (m_Request.m_Method != "GET") {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, m_Request.m_Body.data());
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m_Request.m_Body.size()));
  }
  setHeaders(Handle);
}

void HttpTransfer::setHeaders(CURL *Handle) {
  // Otherwise curl waits for "100 Continue" before it sends a larger body.
  m_Headers = curl_slist_append(nullptr, "Expect:");
  for (const auto &Header : m_Request.m_Headers) {
    std::string Line = Header.first;
    Line += ": ";
    Line += Header.second;
    m_Headers = curl_slist_append(m_Headers, Line.c_str());
  }
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, m_Headers);
}

/// curl sends a request again, on another connection, when a reused one breaks
/// before the response begins. The server may have processed the first copy.
bool HttpTransfer::mayBeSentNow() {
  if (m_Copies == 0 || m_IsRepeatable)
    return true;
  m_Response.m_IsRepeatPrevented = true;
  return false;
}

/// Called by curl before it opens a connection.
int HttpTransfer::prepareSocket(void *Self, curl_socket_t Socket,
                                curlsocktype) {
  auto &Transfer = *static_cast<HttpTransfer *>(Self);
  if (!Transfer.mayBeSentNow())
    return CURL_SOCKOPT_ERROR;
  Transfer.m_OpenedSocket = Socket;
  Transfer.m_Connections.add(Socket, Transfer.server());
  return CURL_SOCKOPT_OK;
}

int HttpTransfer::closeSocket(void *Connections, curl_socket_t Socket) {
  return static_cast<OpenConnections *>(Connections)->close(Socket);
}

/// Called by curl each time before it writes the request to a connection.
int HttpTransfer::prepareCopy(void *Self, char *, char *, int, int LocalPort) {
  auto &Transfer = *static_cast<HttpTransfer *>(Self);
  if (!Transfer.mayBeSentNow())
    return CURL_PREREQFUNC_ABORT;
  ++Transfer.m_Copies;
  Transfer.m_LocalPort = LocalPort;
  return CURL_PREREQFUNC_OK;
}

bool HttpTransfer::hasKeptConnectionTimedOut() const {
  return m_Response.m_Failure == HttpFailure::TimedOut &&
         m_Response.m_WasSent && m_OpenedSocket == CURL_SOCKET_BAD;
}

bool HttpTransfer::uses(curl_socket_t Socket, int LocalPort) const {
  return Socket == m_OpenedSocket || (m_Copies > 0 && LocalPort == m_LocalPort);
}

std::string HttpTransfer::server() const {
  static const std::string Scheme = "http://";
  std::size_t End = m_Request.m_Url.find('/', Scheme.size());
  return m_Request.m_Url.substr(Scheme.size(), End - Scheme.size());
}

void HttpTransfer::finish(CURL *Handle, CURLcode Result) {
  long Status = 0;
  if (Result == CURLE_OK)
    curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
  m_Response.m_Status = static_cast<int>(Status);
  m_Response.m_WasSent = m_Copies > 0;
  m_Response.m_Failure = m_Response.m_IsRepeatPrevented
                             ? HttpFailure::ConnectionLost
                             : toFailure(Result);
  if (Result == CURLE_OK)
    return;
  m_Response.m_Body.clear();
  logNoResponse(Handle, Result);
}

void HttpTransfer::logNoResponse(CURL *Handle, CURLcode Result) const {
  curl_off_t Elapsed = 0;
  curl_easy_getinfo(Handle, CURLINFO_TOTAL_TIME_T, &Elapsed);
  logEvent(LogLevel::Warning, "http.no_response",
           {{"method", m_Request.m_Method},
            {"url", m_Request.m_Url},
            {"subject", m_Request.m_Subject},
            {"reason", toString(m_Response.m_Failure)},
            {"detail", curl_easy_strerror(Result)},
            {"copies_written", m_Copies},
            {"repeat_prevented", m_Response.m_IsRepeatPrevented},
            {"elapsed_us", Elapsed}});
}

} // namespace cyclamenwalk
