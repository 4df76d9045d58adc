#include "support/crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cyclamenwalk {

namespace {

constexpr int PollMilliseconds = 20;
/// Sent by one connection before the others get their turn.
constexpr std::size_t MaxUnsentBytes = 64 * 1024;
constexpr std::size_t ReceiveBufferBytes = 4096;

int connectLoopback(int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // The result is seen by the first send.
  (void)connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address);
  return Socket;
}

bool wouldBlock() { return errno == EAGAIN || errno == EINPROGRESS; }

} // namespace

Crowd::Crowd(int Port, std::size_t Count, CrowdScript Script)
    : m_Script(std::move(Script)) {
  for (std::size_t I = 0; I < Count; ++I)
    m_Members.push_back({connectLoopback(Port), m_Script.m_Prefix,
                         m_Script.m_PieceCount, true, false, Clock::now()});
}

Crowd::~Crowd() {
  for (Member &Current : m_Members)
    disconnect(Current);
}

void Crowd::run(Duration Timeout, const std::function<bool()> &IsDone) {
  TimePoint End = Clock::now() + Timeout;
  while (!IsDone() && Clock::now() < End) {
    std::vector<pollfd> Polled;
    for (Member &Current : m_Members) {
      refill(Current);
      short Events = Current.m_Unsent.empty() ? POLLIN : POLLIN | POLLOUT;
      // poll() ignores the negative descriptors of closed connections.
      Polled.push_back({Current.m_Socket, Events, 0});
    }
    poll(Polled.data(), Polled.size(), PollMilliseconds);
    for (std::size_t I = 0; I < Polled.size(); ++I) {
      if (Polled[I].revents & POLLOUT)
        send(m_Members[I]);
      if (Polled[I].revents & (POLLIN | POLLHUP | POLLERR))
        receive(m_Members[I]);
    }
  }
}

bool Crowd::isSent() const {
  return std::all_of(m_Members.begin(), m_Members.end(),
                     [](const Member &Current) { return isSent(Current); });
}

bool Crowd::isSent(const Member &Sender) {
  return Sender.m_Socket < 0 ||
         (Sender.m_Unsent.empty() && Sender.m_PiecesLeft == 0 &&
          !Sender.m_HasSuffix);
}

std::size_t Crowd::openCount() const {
  return std::count_if(
      m_Members.begin(), m_Members.end(),
      [](const Member &Current) { return Current.m_Socket >= 0; });
}

std::size_t Crowd::answeredCount() const {
  return std::count_if(
      m_Members.begin(), m_Members.end(),
      [](const Member &Current) { return Current.m_IsAnswered; });
}

void Crowd::refill(Member &Sender) const {
  TimePoint Now = Clock::now();
  while (Sender.m_PiecesLeft > 0 && Sender.m_Unsent.size() < MaxUnsentBytes &&
         Sender.m_NextPieceAt <= Now) {
    Sender.m_Unsent += m_Script.m_Piece;
    --Sender.m_PiecesLeft;
    if (m_Script.m_PiecePeriod > Duration::zero())
      Sender.m_NextPieceAt = Now + m_Script.m_PiecePeriod;
  }
  if (Sender.m_PiecesLeft == 0 && Sender.m_HasSuffix) {
    Sender.m_Unsent += m_Script.m_Suffix;
    Sender.m_HasSuffix = false;
  }
}

void Crowd::send(Member &Sender) const {
  ssize_t Sent = ::send(Sender.m_Socket, Sender.m_Unsent.data(),
                        Sender.m_Unsent.size(), MSG_NOSIGNAL);
  if (Sent > 0)
    Sender.m_Unsent.erase(0, static_cast<std::size_t>(Sent));
  else if (!wouldBlock())
    disconnect(Sender);
}

void Crowd::receive(Member &Sender) {
  std::array<char, ReceiveBufferBytes> Buffer{};
  ssize_t Received = recv(Sender.m_Socket, Buffer.data(), Buffer.size(), 0);
  Sender.m_IsAnswered |= Received > 0;
  if (Received == 0 || (Received < 0 && !wouldBlock()))
    disconnect(Sender);
}

void Crowd::disconnect(Member &Sender) {
  if (Sender.m_Socket >= 0)
    close(Sender.m_Socket);
  Sender.m_Socket = -1;
}

} // namespace cyclamenwalk
