#include "soak/faultproxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <list>
#include <mutex>
#include <poll.h>
#include <random>
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
/// How long the connection of a late call stays open for its answer.
constexpr Duration LateCallTime = seconds(3);
/// Retry period of a port that cannot be opened yet.
constexpr Duration ListenRetryPeriod = milliseconds(5);
/// A longer request is not watched for its answer.
constexpr std::size_t MaxCallBytes = 64 * 1024;
constexpr const char *CallStart = "POST ";

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
  bool m_IsClosedInOrder = false;
  /// The request that the server has got and not answered yet.
  std::string m_Call;
};

/// A request that the server gets late, or its connection after that.
struct LateCall {
  TimePoint m_DueAt;
  std::string m_Bytes;
  int m_Socket = -1;
};

/// Whether \p Bytes are exactly one request with its body.
bool isWholeCall(const std::string &Bytes) {
  constexpr const char *LengthName = "Content-Length: ";
  auto BodyStart = Bytes.find("\r\n\r\n");
  auto Length = Bytes.find(LengthName);
  if (Bytes.rfind(CallStart, 0) != 0 || BodyStart == std::string::npos ||
      Length > BodyStart)
    return false;
  auto Size = std::strtoul(Bytes.c_str() + Length + std::strlen(LengthName),
                           nullptr, 10);
  return Bytes.size() == BodyStart + 4 + Size;
}

} // namespace

class FaultProxy::Impl {
public:
  Impl(const std::string &Listen, const std::string &Target,
       CallObserver Observer)
      : m_ListenAddress(toSocketAddress(Listen)),
        m_Target(toSocketAddress(Target)), m_Observer(std::move(Observer)),
        m_WakeEvent(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (!openPort())
      throw std::runtime_error("cannot listen on " + Listen + ": " +
                               std::strerror(errno));
    m_Thread = std::thread([this] { run(); });
  }

  ~Impl() {
    updateState([this] { m_IsStopping = true; });
    m_Thread.join();
    for (ProxiedConnection &Connection : m_Connections)
      closeConnection(Connection);
    for (const LateCall &Late : m_LateCalls)
      if (Late.m_Socket >= 0)
        close(Late.m_Socket);
    closePort();
    close(m_WakeEvent);
  }

  void setFault(const ProxyFault &Fault, std::uint32_t Seed) {
    updateState([&] {
      m_Fault = Fault;
      m_Random.seed(Seed);
    });
  }

  void resetConnections(Duration RefusalTime, bool IsPortClosed) {
    updateState([&] {
      for (ProxiedConnection &Connection : m_Connections)
        Connection.m_IsReset = true;
      refuseConnections(RefusalTime, IsPortClosed);
    });
  }

  void setPortClosed(bool IsClosed) {
    updateState([&] { m_IsPortClosed = IsClosed; });
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
      updatePort();
      acceptConnections();
      deliverLateCalls();
      for (ProxiedConnection &Connection : m_Connections)
        transfer(Connection);
      m_Connections.remove_if([this](ProxiedConnection &Connection) {
        bool IsClosed =
            Connection.m_IsReset || (Connection.m_ToServer.m_HasForwardedEof &&
                                     Connection.m_ToClient.m_HasForwardedEof);
        if (IsClosed)
          finishConnection(Connection);
        return IsClosed;
      });
    }
  }

  bool openPort() {
    m_Listener = makeSocket();
    int Enabled = 1;
    setsockopt(m_Listener, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof Enabled);
    bool IsListening =
        bind(m_Listener, reinterpret_cast<sockaddr *>(&m_ListenAddress),
             sizeof m_ListenAddress) == 0 &&
        listen(m_Listener, ListenBacklog) == 0;
    if (!IsListening)
      closePort();
    return IsListening;
  }

  void closePort() {
    if (m_Listener >= 0)
      close(m_Listener);
    m_Listener = -1;
  }

  void updatePort() {
    bool IsRefusing = m_RefusesByPort && Clock::now() < m_RefusedUntil;
    bool MustBeOpen = !m_IsPortClosed && !IsRefusing;
    if (!MustBeOpen)
      closePort();
    else if (m_Listener < 0)
      openPort();
  }

  void refuseConnections(Duration Time, bool IsPortClosed) {
    m_RefusedUntil = Clock::now() + Time;
    m_RefusesByPort = IsPortClosed;
    if (IsPortClosed && Time > Duration::zero())
      closePort();
  }

  bool draw(double Ratio) {
    return std::uniform_real_distribution<double>()(m_Random) < Ratio;
  }

  void reportFate(const std::string &Call, CallFate Fate) {
    if (m_Observer && !Call.empty())
      m_Observer(Call, Fate);
  }

  void finishConnection(const ProxiedConnection &Connection) {
    reportFate(Connection.m_Call, CallFate::AnswerLost);
    closeConnection(Connection);
  }

  void deliverLateCalls() {
    for (LateCall &Late : m_LateCalls) {
      if (Late.m_DueAt > Clock::now() || Late.m_Bytes.empty())
        continue;
      reportFate(Late.m_Bytes, CallFate::Late);
      Late.m_Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (connect(Late.m_Socket, reinterpret_cast<sockaddr *>(&m_Target),
                  sizeof m_Target) == 0)
        send(Late.m_Socket, Late.m_Bytes.data(), Late.m_Bytes.size(),
             MSG_NOSIGNAL);
      Late.m_Bytes.clear();
      Late.m_DueAt = Clock::now() + LateCallTime;
    }
    m_LateCalls.remove_if([](const LateCall &Late) {
      bool IsOver = Late.m_Bytes.empty() && Late.m_DueAt <= Clock::now();
      if (IsOver)
        close(Late.m_Socket);
      return IsOver;
    });
  }

  bool isBlocked(const ProxiedConnection &Connection,
                 const ByteStream &Stream) const {
    bool IsToServer = &Stream == &Connection.m_ToServer;
    return Connection.m_IsBlackholed ||
           (IsToServer ? m_Fault.m_BlocksToServer : m_Fault.m_BlocksToClient);
  }

  std::vector<pollfd> buildPollSet() const {
    bool IsBlocked = m_Fault.m_BlocksToServer || m_Fault.m_BlocksToClient;
    // A negative descriptor is ignored.
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

  /// Milliseconds until the next buffered bytes become due or the port or a
  /// late call wants attention; -1 for no limit.
  int pollTimeout() const {
    Duration ShortestDelay = Duration::max();
    if (m_Listener < 0 && !m_IsPortClosed)
      ShortestDelay =
          std::max<Duration>(m_RefusedUntil - Clock::now(), ListenRetryPeriod);
    for (const LateCall &Late : m_LateCalls)
      ShortestDelay = std::min(
          ShortestDelay,
          std::max<Duration>(Late.m_DueAt - Clock::now(), Duration::zero()));
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
    if (m_Listener < 0 || m_Fault.m_BlocksToServer || m_Fault.m_BlocksToClient)
      return;
    bool IsResetting = Clock::now() < m_RefusedUntil;
    for (;;) {
      int Client =
          accept4(m_Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (Client < 0)
        return;
      if (IsResetting) {
        closeWithReset(Client);
        continue;
      }
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
      std::string Received(Bytes, Size);
      bool IsToServer = &Stream == &Connection.m_ToServer;
      bool IsLost = IsToServer ? isMadeLate(Connection, Received)
                               : losesAnswer(Connection);
      if (IsLost)
        return;
      Stream.m_Buffered.push_back(
          {Clock::now() + m_Fault.m_Delay, std::move(Received)});
      Stream.m_BufferedBytes += Size;
    }
  }

  /// Takes note of a call; true if the server gets it later.
  bool isMadeLate(ProxiedConnection &Connection, const std::string &Received) {
    if (Received.rfind(CallStart, 0) == 0)
      Connection.m_Call = Received;
    else if (!Connection.m_Call.empty() &&
             Connection.m_Call.size() < MaxCallBytes)
      Connection.m_Call += Received;
    if (!isWholeCall(Received) || !draw(m_Fault.m_LateRatio))
      return false;
    m_LateCalls.push_back({Clock::now() + m_Fault.m_LateDelay, Received});
    Connection.m_Call.clear();
    // The caller gets no answer, or its connection is reset.
    Connection.m_IsBlackholed = draw(0.5);
    Connection.m_IsReset = !Connection.m_IsBlackholed;
    return true;
  }

  /// Whether the answer that arrives is lost; the connection then ends.
  bool losesAnswer(ProxiedConnection &Connection) {
    if (Connection.m_Call.empty())
      return false;
    if (!draw(m_Fault.m_LossRatio)) {
      Connection.m_Call.clear();
      return false;
    }
    Connection.m_IsReset = true;
    Connection.m_IsClosedInOrder = m_Fault.m_ClosesInOrder;
    if (m_Fault.m_RefusalTime > Duration::zero())
      refuseConnections(m_Fault.m_RefusalTime, draw(0.7));
    return true;
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
    if (Connection.m_IsReset && !Connection.m_IsClosedInOrder) {
      closeWithReset(Connection.m_ToServer.m_From);
      closeWithReset(Connection.m_ToServer.m_To);
      return;
    }
    close(Connection.m_ToServer.m_From);
    close(Connection.m_ToServer.m_To);
  }

  sockaddr_in m_ListenAddress;
  sockaddr_in m_Target;
  const CallObserver m_Observer;
  /// Negative while the port is closed.
  int m_Listener = -1;
  const int m_WakeEvent;
  std::mutex m_Mutex;
  ProxyFault m_Fault;
  std::minstd_rand m_Random;
  bool m_IsPortClosed = false;
  TimePoint m_RefusedUntil;
  bool m_RefusesByPort = false;
  std::list<LateCall> m_LateCalls;
  bool m_IsStopping = false;
  std::list<ProxiedConnection> m_Connections;
  std::thread m_Thread;
};

FaultProxy::FaultProxy(const std::string &Listen, const std::string &Target,
                       CallObserver Observer)
    : m_Impl(std::make_unique<Impl>(Listen, Target, std::move(Observer))) {}
FaultProxy::~FaultProxy() = default;

void FaultProxy::setFault(const ProxyFault &Fault, std::uint32_t Seed) {
  m_Impl->setFault(Fault, Seed);
}
void FaultProxy::resetConnections(Duration RefusalTime, bool IsPortClosed) {
  m_Impl->resetConnections(RefusalTime, IsPortClosed);
}
void FaultProxy::blackholeConnections() { m_Impl->blackholeConnections(); }
void FaultProxy::setPortClosed(bool IsClosed) {
  m_Impl->setPortClosed(IsClosed);
}

} // namespace cyclamenwalk
