#include "http/blockinghttp.h"

#include <algorithm>
#include <memory>
#include <ulfius.h>

namespace cyclamenwalk {

namespace {

using RequestPointer =
    std::unique_ptr<struct _u_request, decltype(&ulfius_clean_request)>;
using ResponsePointer =
    std::unique_ptr<struct _u_response, decltype(&ulfius_clean_response)>;

/// ulfius takes its timeout in whole seconds: rounds up, to at least one.
seconds roundUp(Duration Timeout) {
  return std::max(std::chrono::ceil<seconds>(Timeout), seconds(1));
}

void writeRequest(struct _u_request &Raw, const HttpRequest &Request,
                  Duration Timeout) {
  ulfius_set_request_properties(
      &Raw, U_OPT_HTTP_VERB, Request.m_Method.c_str(), U_OPT_HTTP_URL,
      Request.m_Url.c_str(), U_OPT_TIMEOUT,
      static_cast<unsigned long>(roundUp(Timeout).count()), U_OPT_NONE);
  for (const auto &Header : Request.m_Headers)
    u_map_put(Raw.map_header, Header.first.c_str(), Header.second.c_str());
  if (!Request.m_Body.empty())
    ulfius_set_binary_body_request(&Raw, Request.m_Body.data(),
                                   Request.m_Body.size());
}

HttpResponse toResponse(const struct _u_response &Raw) {
  HttpResponse Response;
  Response.m_Status = static_cast<int>(Raw.status);
  if (Raw.binary_body_length > 0)
    Response.m_Body.assign(static_cast<const char *>(Raw.binary_body),
                           Raw.binary_body_length);
  return Response;
}

} // namespace

HttpResponse sendHttpRequest(const HttpRequest &Request, Duration Timeout) {
  struct _u_request RawRequest;
  struct _u_response RawResponse;
  ulfius_init_request(&RawRequest);
  ulfius_init_response(&RawResponse);
  RequestPointer RequestOwner(&RawRequest, ulfius_clean_request);
  ResponsePointer ResponseOwner(&RawResponse, ulfius_clean_response);
  writeRequest(RawRequest, Request, Timeout);
  if (ulfius_send_http_request(&RawRequest, &RawResponse) != U_OK) {
    HttpResponse NoResponse;
    NoResponse.m_Status = 0;
    NoResponse.m_Failure = HttpFailure::Other;
    return NoResponse;
  }
  return toResponse(RawResponse);
}

} // namespace cyclamenwalk
