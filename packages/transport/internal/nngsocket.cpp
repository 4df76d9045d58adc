#include "transport/internal/nngsocket.h"

#include "core/error.h"

#include <nng/protocol/pipeline0/push.h>
#include <utility>

namespace cyclamenwalk {

namespace {

/// Messages that a channel buffers while its connection is slow.
constexpr int SendBufferMessages = 4096;
constexpr nng_duration MinReconnectPeriod = 50;   // ms
constexpr nng_duration MaxReconnectPeriod = 1000; // ms

void check(int Result, const std::string &Operation) {
  if (Result != 0)
    throw Error(ResultCode::ListenFailed,
                Operation + ": " + nng_strerror(Result));
}

std::string makeUrl(const std::string &Address) { return "tcp://" + Address; }

} // namespace

NngSocket NngSocket::dialPush(const std::string &Address) {
  NngSocket Created;
  check(nng_push0_open(&Created.m_Socket), "open push socket");
  nng_socket_set_int(Created.m_Socket, NNG_OPT_SENDBUF, SendBufferMessages);
  nng_socket_set_ms(Created.m_Socket, NNG_OPT_RECONNMINT, MinReconnectPeriod);
  nng_socket_set_ms(Created.m_Socket, NNG_OPT_RECONNMAXT, MaxReconnectPeriod);
  check(nng_dial(Created.m_Socket, makeUrl(Address).c_str(), nullptr,
                 NNG_FLAG_NONBLOCK),
        "dial " + Address);
  return Created;
}

NngSocket::NngSocket(NngSocket &&Other) noexcept
    : m_Socket(
          std::exchange(Other.m_Socket, nng_socket NNG_SOCKET_INITIALIZER)) {}

NngSocket &NngSocket::operator=(NngSocket &&Other) noexcept {
  std::swap(m_Socket, Other.m_Socket);
  return *this;
}

NngSocket::~NngSocket() { close(); }

bool NngSocket::trySend(const std::string &Bytes) {
  // Without NNG_FLAG_ALLOC nng only reads the buffer.
  return nng_send(m_Socket, const_cast<char *>(Bytes.data()), Bytes.size(),
                  NNG_FLAG_NONBLOCK) == 0;
}

void NngSocket::close() {
  if (nng_socket_id(m_Socket) > 0)
    nng_close(m_Socket);
}

} // namespace cyclamenwalk
