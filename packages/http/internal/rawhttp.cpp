#include "http/internal/rawhttp.h"

#include <cstdlib>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace cyclamenwalk {

namespace {

MHD_Result addToMap(void *Target, MHD_ValueKind, const char *Key,
                    const char *Value) {
  auto &Values = *static_cast<std::map<std::string, std::string> *>(Target);
  Values[Key] = Value ? Value : "";
  return MHD_YES;
}

/// A body that the library reads until it has been written.
struct HeldBody {
  std::string m_Bytes;
  Charge m_Memory;
};

void freeHeldBody(void *Held) { delete static_cast<HeldBody *>(Held); }

} // namespace

void readRequestHead(Exchange &Target, const char *Method) {
  HttpRequest &Request = Target.m_Request;
  Request.m_Method = Method;
  MHD_get_connection_values(Target.m_Raw, MHD_HEADER_KIND, addToMap,
                            &Request.m_Headers);
  MHD_get_connection_values(Target.m_Raw, MHD_GET_ARGUMENT_KIND, addToMap,
                            &Request.m_Query);
  std::string Length = Request.header(MHD_HTTP_HEADER_CONTENT_LENGTH);
  bool IsChunked = !Request.header(MHD_HTTP_HEADER_TRANSFER_ENCODING).empty();
  if (!IsChunked && !Length.empty())
    Target.m_AnnouncedBytes = std::strtoull(Length.c_str(), nullptr, 10);
}

bool hasBody(MHD_Connection *Raw) {
  const char *Length = MHD_lookup_connection_value(
      Raw, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  return (Length && std::strtoull(Length, nullptr, 10) > 0) ||
         MHD_lookup_connection_value(Raw, MHD_HEADER_KIND,
                                     MHD_HTTP_HEADER_TRANSFER_ENCODING);
}

std::size_t headerBytes(MHD_Connection *Raw) {
  const auto *Info =
      MHD_get_connection_info(Raw, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  return Info ? Info->header_size : 0;
}

MHD_Result queueResponse(MHD_Connection *Raw, HttpResponse Response,
                         Charge Memory) {
  auto *Held = new HeldBody{std::move(Response.m_Body), std::move(Memory)};
  MHD_Response *Encoded =
      MHD_create_response_from_buffer_with_free_callback_cls(
          Held->m_Bytes.size(), Held->m_Bytes.data(), &freeHeldBody, Held);
  if (!Encoded) {
    freeHeldBody(Held);
    return MHD_NO;
  }
  MHD_add_response_header(Encoded, MHD_HTTP_HEADER_CONTENT_TYPE,
                          Response.m_ContentType.c_str());
  for (const auto &[Name, Value] : Response.m_Headers)
    MHD_add_response_header(Encoded, Name.c_str(), Value.c_str());
  MHD_Result Result = MHD_queue_response(
      Raw, static_cast<unsigned>(Response.m_Status), Encoded);
  MHD_destroy_response(Encoded);
  return Result;
}

void sendDirectly(int Socket, const HttpResponse &Response) {
  std::string Text =
      "HTTP/1.1 " + std::to_string(Response.m_Status) + " " +
      MHD_get_reason_phrase_for(static_cast<unsigned>(Response.m_Status)) +
      "\r\nContent-Type: " + Response.m_ContentType +
      "\r\nConnection: close\r\nContent-Length: " +
      std::to_string(Response.m_Body.size()) + "\r\n";
  for (const auto &[Name, Value] : Response.m_Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  Text += "\r\n" + Response.m_Body;
  [[maybe_unused]] auto Sent =
      send(Socket, Text.data(), Text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

HttpResponse makePlainRefusal(ResultCode Code) {
  HttpResponse Response;
  Response.m_Status = describe(Code).m_HttpStatus;
  Response.m_Body = R"({"code":)" + std::to_string(static_cast<int>(Code)) +
                    R"(,"detail":")" + std::string(describe(Code).m_Text) +
                    "\"}";
  return Response;
}

std::uint64_t receivedBytes(int Socket) {
  tcp_info Info{};
  socklen_t Length = sizeof Info;
  bool IsKnown = getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Info, &Length) == 0;
  return IsKnown ? Info.tcpi_bytes_received : 0;
}

bool hasUnreadBytes(int Socket) {
  int Count = 0;
  return ioctl(Socket, FIONREAD, &Count) == 0 && Count > 0;
}

} // namespace cyclamenwalk
