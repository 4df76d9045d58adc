#include "http/tests/mocks/scriptedserver.h"

#include <algorithm>
#include <arpa/inet.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cyclamenwalk {

namespace {

constexpr std::size_t ReadSize = 65536;
const std::string HeaderEnd = "\r\n\r\n";
const std::string LengthHeader = "Content-Length: ";

/// The length of the first request in \p Text; zero while it is incomplete.
std::size_t completeLength(const std::string &Text) {
  std::size_t End = Text.find(HeaderEnd);
  if (End == std::string::npos)
    return 0;
  std::size_t Length = End + HeaderEnd.size();
  std::size_t Header = Text.find(LengthHeader);
  if (Header < End)
    Length += std::stoul(Text.substr(Header + LengthHeader.size()));
  return Text.size() < Length ? 0 : Length;
}

void write(int Socket, const std::string &Bytes) {
  if (!Bytes.empty())
    send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
}

void resetConnection(int Socket) {
  linger Abort{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort);
  close(Socket);
}

} // namespace

class ScriptedServer::Impl {
public:
  explicit Impl(Reaction React) : m_React(std::move(React)) {
    listenOnFreePort();
    if (pipe(m_Wakeup) != 0)
      throw std::runtime_error("cannot create a pipe");
    m_Thread = std::thread([this] { run(); });
  }

  ~Impl() {
    close(m_Wakeup[1]);
    m_Thread.join();
    close(m_Wakeup[0]);
    for (const auto &Item : m_Connections)
      close(Item.first);
    stopListening();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(m_Port); }

  int received(const std::string &Part) const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return static_cast<int>(std::count_if(
        m_Requests.begin(), m_Requests.end(), [&](const std::string &Text) {
          return Text.find(Part) != std::string::npos;
        }));
  }

  void awaitClosed(int Count) const {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_HasClosed.wait(Lock, [&] { return m_Closed >= Count; });
  }

private:
  struct Connection {
    int m_Number = 0;
    std::string m_Unread;
  };

  void listenOnFreePort() {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof Address;
    m_Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    if (bind(m_Listener, Generic, Length) != 0 ||
        listen(m_Listener, SOMAXCONN) != 0 ||
        getsockname(m_Listener, Generic, &Length) != 0)
      throw std::runtime_error("cannot listen");
    m_Port = ntohs(Address.sin_port);
  }

  void stopListening() {
    if (m_Listener >= 0)
      close(m_Listener);
    m_Listener = -1;
  }

  void run() {
    while (true) {
      std::vector<pollfd> Waiting{{m_Wakeup[0], POLLIN, 0},
                                  {m_Listener, POLLIN, 0}};
      for (const auto &Item : m_Connections)
        Waiting.push_back({Item.first, POLLIN, 0});
      poll(Waiting.data(), Waiting.size(), -1);
      if (Waiting[0].revents != 0)
        return;
      if (Waiting[1].revents != 0)
        m_Connections[accept(m_Listener, nullptr, nullptr)].m_Number =
            ++m_Accepted;
      for (std::size_t I = 2; I < Waiting.size(); ++I)
        if (Waiting[I].revents != 0)
          readFrom(Waiting[I].fd);
    }
  }

  void readFrom(int Socket) {
    std::string Buffer(ReadSize, '\0');
    ssize_t Count = read(Socket, Buffer.data(), Buffer.size());
    if (Count <= 0) {
      close(Socket);
      m_Connections.erase(Socket);
      return;
    }
    Connection &Source = m_Connections[Socket];
    Source.m_Unread.append(Buffer, 0, static_cast<std::size_t>(Count));
    std::size_t Length = completeLength(Source.m_Unread);
    if (Length == 0)
      return;
    std::string Text = Source.m_Unread.substr(0, Length);
    Source.m_Unread.erase(0, Length);
    react(Socket, {record(Text), Source.m_Number, Text});
  }

  int record(const std::string &Text) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Requests.push_back(Text);
    return static_cast<int>(m_Requests.size());
  }

  void react(int Socket, const ReceivedRequest &Request) {
    ServerReaction Next = m_React(Request);
    if (Next.m_StopsListening)
      stopListening();
    for (const auto &Item : m_Connections)
      if (Item.first == Socket || Next.m_AnswersAll)
        write(Item.first, Next.m_Bytes);
    if (Next.m_Ending == ServerReaction::Ending::KeepOpen)
      return;
    m_Connections.erase(Socket);
    if (Next.m_Ending == ServerReaction::Ending::Reset)
      resetConnection(Socket);
    else
      close(Socket);
    std::lock_guard<std::mutex> Lock(m_Mutex);
    ++m_Closed;
    m_HasClosed.notify_all();
  }

  const Reaction m_React;
  int m_Listener = -1;
  int m_Port = 0;
  int m_Wakeup[2] = {-1, -1};
  int m_Accepted = 0;
  std::map<int, Connection> m_Connections;
  mutable std::mutex m_Mutex;
  mutable std::condition_variable m_HasClosed;
  int m_Closed = 0;
  std::vector<std::string> m_Requests;
  std::thread m_Thread;
};

ScriptedServer::ScriptedServer(Reaction React)
    : m_Impl(std::make_unique<Impl>(std::move(React))) {}
ScriptedServer::~ScriptedServer() = default;

std::string ScriptedServer::address() const { return m_Impl->address(); }

int ScriptedServer::received(const std::string &Part) const {
  return m_Impl->received(Part);
}

void ScriptedServer::awaitClosed(int Count) const {
  m_Impl->awaitClosed(Count);
}

std::string makeHttpText(int Status, const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace cyclamenwalk
