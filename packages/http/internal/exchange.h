#ifndef CYCLAMENWALK_HTTP_INTERNAL_EXCHANGE_H
#define CYCLAMENWALK_HTTP_INTERNAL_EXCHANGE_H

#include "budget/connectiontable.h"
#include "budget/memorybudget.h"
#include "http/internal/routetable.h"
#include "http/types/httpmessage.h"

#include <optional>

struct MHD_Connection;

namespace cyclamenwalk {

/// An open connection of a client.
struct ClientConnection {
  ConnectionNumber m_Number = 0;
  int m_Socket = -1;
  bool m_HadRequest = false;
  /// While the connection waits for a header: the bytes that had arrived at the
  /// last check, and since when it waits.
  std::uint64_t m_CheckedBytes = 0;
  TimePoint m_CheckedSince;
  Charge m_Memory;
  struct Exchange *m_Exchange = nullptr;
};

enum class ExchangeState {
  New,
  ReceivingBody,
  /// A handler runs; the connection is suspended.
  Handling,
  /// The response is in m_Response, and the connection is resumed.
  Answered,
  /// The refusal was sent; what still arrives is ignored.
  Discarding,
  /// The server stops without a response.
  Aborted
};

/// A request and its response. Used on the polling thread.
struct Exchange {
  std::uint64_t m_Number = 0;
  MHD_Connection *m_Raw = nullptr;
  ClientConnection *m_Connection = nullptr;
  ExchangeState m_State = ExchangeState::New;
  HttpRequest m_Request;
  const RouteHandler *m_Route = nullptr;
  /// Length of the body if it was announced.
  std::optional<std::size_t> m_AnnouncedBytes;
  std::size_t m_MaxBodyBytes = 0;
  Charge m_Memory;
  std::optional<HttpResponse> m_Response;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_EXCHANGE_H
