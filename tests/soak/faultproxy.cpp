#include "soak/faultproxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <list>
#include <mutex>
#include <poll.h>
#include <stdexcept>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace cyclamenwalk {

namespace {

constexpr std::size_t ReadBufferSize = 65536;
/// Buffered bytes at which a direction stops to read.
constexpr std::size_t MaxBufferedBytes = 1024 * 1024;
constexpr int ListenBacklog = 256;

sockaddr_in toSocketAddress(const std::string &Address) {
  auto Colon = Address.rfind(':');
  sockaddr_in Value{};
  Value.sin_family = AF_INET;
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Value.sin_addr);
  Value.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  return Value;
}

int makeSocket() {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw std::runtime_error(std::string("cannot create a socket: ") +
                             std::strerror(errno));
  return Socket;
}

void closeWithReset(int Socket) {
  linger Option{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Option, sizeof Option);
  close(Socket);
}

struct Chunk {
  TimePoint m_DueAt;
  std::string m_Bytes;
};

/// One direction of a connection.
struct ByteStream {
  int m_From = -1;
  int m_To = -1;
  std::deque<Chunk> m_Buffered;
  std::size_t m_BufferedBytes = 0;
  bool m_HasReadEof = false;
  bool m_HasForwardedEof = false;
};

struct ProxiedConnection {
  ByteStream m_ToServer;
  ByteStream m_ToClient;
  bool m_IsBlackholed = false;
  bool m_IsReset = false;
};

} // namespace

class FaultProxy::Impl {
public:
  Impl(const std::string &Listen, const std::string &Target)
      : m_Target(toSocketAddress(Target)), m_Listener(makeSocket()),
        m_WakeEvent(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    int Enabled = 1;
    setsockopt(m_Listener, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof Enabled);
    sockaddr_in ListenAddress = toSocketAddress(Listen);
    bool IsListening =
        bind(m_Listener, reinterpret_cast<sockaddr *>(&ListenAddress),
             sizeof ListenAddress) == 0 &&
        listen(m_Listener, ListenBacklog) == 0;
    if (!IsListening)
      throw std::runtime_error("cannot listen on " + Listen + ": " +
                               std::strerror(errno));
    m_Thread = std::thread([this] { run(); });
  }

  ~Impl() {
    updateState([this] { m_IsStopping = true; });
    m_Thread.join();
    for (ProxiedConnection &Connection : m_Connections)
      closeConnection(Connection);
    close(m_Listener);
    close(m_WakeEvent);
  }

  void setFault(const ProxyFault &Fault) {
    updateState([&] { m_Fault = Fault; });
  }

  void resetConnections() {
    updateState([this] {
      for (ProxiedConnection &Connection : m_Connections)
        Connection.m_IsReset = true;
    });
  }

  void blackholeConnections() {
    updateState([this] {
      for (ProxiedConnection &Connection : m_Connections)
        Connection.m_IsBlackholed = true;
    });
  }

private:
  template <typename Update> void updateState(Update Apply) {
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      Apply();
    }
    eventfd_write(m_WakeEvent, 1);
  }

  void run() {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    while (!m_IsStopping) {
      std::vector<pollfd> PollSet = buildPollSet();
      int Timeout = pollTimeout();
      Lock.unlock();
      poll(PollSet.data(), PollSet.size(), Timeout);
      Lock.lock();
      eventfd_t Count = 0;
      eventfd_read(m_WakeEvent, &Count);
      acceptConnections();
      for (ProxiedConnection &Connection : m_Connections)
        transfer(Connection);
      m_Connections.remove_if([this](ProxiedConnection &Connection) {
        bool IsClosed =
            Connection.m_IsReset || (Connection.m_ToServer.m_HasForwardedEof &&
                                     Connection.m_ToClient.m_HasForwardedEof);
        if (IsClosed)
          closeConnection(Connection);
        return IsClosed;
      });
    }
  }

  bool isBlocked(const ProxiedConnection &Connection,
                 const ByteStream &Stream) const {
    bool IsToServer = &Stream == &Connection.m_ToServer;
    return Connection.m_IsBlackholed ||
           (IsToServer ? m_Fault.m_BlocksToServer : m_Fault.m_BlocksToClient);
  }

  std::vector<pollfd> buildPollSet() const {
    bool IsBlocked = m_Fault.m_BlocksToServer || m_Fault.m_BlocksToClient;
    std::vector<pollfd> PollSet{
        {m_WakeEvent, POLLIN, 0},
        {m_Listener, static_cast<short>(IsBlocked ? 0 : POLLIN), 0}};
    for (const ProxiedConnection &Connection : m_Connections)
      for (const ByteStream *Stream :
           {&Connection.m_ToServer, &Connection.m_ToClient}) {
        if (isBlocked(Connection, *Stream))
          continue;
        if (!Stream->m_HasReadEof && Stream->m_BufferedBytes < MaxBufferedBytes)
          PollSet.push_back({Stream->m_From, POLLIN, 0});
        bool IsDue = !Stream->m_Buffered.empty() &&
                     Stream->m_Buffered.front().m_DueAt <= Clock::now();
        if (IsDue)
          PollSet.push_back({Stream->m_To, POLLOUT, 0});
      }
    return PollSet;
  }

  /// Milliseconds until the next buffered bytes become due; -1 for no limit.
  int pollTimeout() const {
    Duration ShortestDelay = Duration::max();
    for (const ProxiedConnection &Connection : m_Connections)
      for (const ByteStream *Stream :
           {&Connection.m_ToServer, &Connection.m_ToClient})
        if (!Stream->m_Buffered.empty() && !isBlocked(Connection, *Stream) &&
            Stream->m_Buffered.front().m_DueAt > Clock::now())
          ShortestDelay = std::min(
              ShortestDelay, Stream->m_Buffered.front().m_DueAt - Clock::now());
    return ShortestDelay == Duration::max()
               ? -1
               : static_cast<int>(toMilliseconds(ShortestDelay)) + 1;
  }

  void acceptConnections() {
    if (m_Fault.m_BlocksToServer || m_Fault.m_BlocksToClient)
      return;
    for (;;) {
      int Client =
          accept4(m_Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (Client < 0)
        return;
      int Server = makeSocket();
      int Result = connect(Server, reinterpret_cast<sockaddr *>(&m_Target),
                           sizeof m_Target);
      if (Result != 0 && errno != EINPROGRESS) {
        closeWithReset(Client);
        close(Server);
        continue;
      }
      ProxiedConnection &Accepted = m_Connections.emplace_back();
      Accepted.m_ToServer.m_From = Accepted.m_ToClient.m_To = Client;
      Accepted.m_ToServer.m_To = Accepted.m_ToClient.m_From = Server;
    }
  }

  void transfer(ProxiedConnection &Connection) {
    for (ByteStream *Stream :
         {&Connection.m_ToServer, &Connection.m_ToClient}) {
      if (Connection.m_IsReset || isBlocked(Connection, *Stream))
        continue;
      receive(Connection, *Stream);
      forward(Connection, *Stream);
    }
  }

  void receive(ProxiedConnection &Connection, ByteStream &Stream) {
    char Bytes[ReadBufferSize];
    while (!Stream.m_HasReadEof && Stream.m_BufferedBytes < MaxBufferedBytes) {
      ssize_t Count = recv(Stream.m_From, Bytes, sizeof Bytes, 0);
      if (Count < 0) {
        if (errno != EAGAIN && errno != ENOTCONN)
          Connection.m_IsReset = true;
        return;
      }
      if (Count == 0) {
        Stream.m_HasReadEof = true;
        return;
      }
      auto Size = static_cast<std::size_t>(Count);
      Stream.m_Buffered.push_back(
          {Clock::now() + m_Fault.m_Delay, std::string(Bytes, Size)});
      Stream.m_BufferedBytes += Size;
    }
  }

  static void forward(ProxiedConnection &Connection, ByteStream &Stream) {
    while (!Stream.m_Buffered.empty() &&
           Stream.m_Buffered.front().m_DueAt <= Clock::now()) {
      std::string &Bytes = Stream.m_Buffered.front().m_Bytes;
      ssize_t Count =
          send(Stream.m_To, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count < 0) {
        if (errno != EAGAIN && errno != ENOTCONN)
          Connection.m_IsReset = true;
        return;
      }
      Stream.m_BufferedBytes -= static_cast<std::size_t>(Count);
      Bytes.erase(0, static_cast<std::size_t>(Count));
      if (Bytes.empty())
        Stream.m_Buffered.pop_front();
    }
    if (Stream.m_HasReadEof && Stream.m_Buffered.empty() &&
        !Stream.m_HasForwardedEof) {
      shutdown(Stream.m_To, SHUT_WR);
      Stream.m_HasForwardedEof = true;
    }
  }

  static void closeConnection(const ProxiedConnection &Connection) {
    if (Connection.m_IsReset) {
      closeWithReset(Connection.m_ToServer.m_From);
      closeWithReset(Connection.m_ToServer.m_To);
      return;
    }
    close(Connection.m_ToServer.m_From);
    close(Connection.m_ToServer.m_To);
  }

  sockaddr_in m_Target;
  const int m_Listener;
  const int m_WakeEvent;
  std::mutex m_Mutex;
  ProxyFault m_Fault;
  bool m_IsStopping = false;
  std::list<ProxiedConnection> m_Connections;
  std::thread m_Thread;
};

FaultProxy::FaultProxy(const std::string &Listen, const std::string &Target)
    : m_Impl(std::make_unique<Impl>(Listen, Target)) {}
FaultProxy::~FaultProxy() = default;

void FaultProxy::setFault(const ProxyFault &Fault) { m_Impl->setFault(Fault); }
void FaultProxy::resetConnections() { m_Impl->resetConnections(); }
void FaultProxy::blackholeConnections() { m_Impl->blackholeConnections(); }

} // namespace cyclamenwalk
