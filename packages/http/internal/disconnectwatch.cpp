#include "http/internal/disconnectwatch.h"

#include "core/error.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <vector>

namespace cyclamenwalk {

DisconnectWatch::DisconnectWatch() : m_WakeEvent(eventfd(0, EFD_NONBLOCK)) {
  if (m_WakeEvent < 0)
    throw Error(ResultCode::Internal, "cannot create an eventfd");
  m_Thread = std::thread([this] { run(); });
}

DisconnectWatch::~DisconnectWatch() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopped = true;
  }
  wakeUp();
  m_Thread.join();
  close(m_WakeEvent);
}

void DisconnectWatch::wakeUp() {
  // Fails only on a full counter, which wakes the thread as well.
  [[maybe_unused]] auto Written = eventfd_write(m_WakeEvent, 1);
}

void DisconnectWatch::addConnection(const std::string &ConnectionId,
                                    int Socket) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Sockets[ConnectionId] = Socket;
}

void DisconnectWatch::removeConnection(const std::string &ConnectionId) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Sockets.find(ConnectionId);
  if (It == m_Sockets.end())
    return;
  m_Handlers.erase(It->second);
  m_Sockets.erase(It);
}

void DisconnectWatch::watch(const std::string &ConnectionId,
                            DisconnectHandler HandleDisconnect) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto It = m_Sockets.find(ConnectionId);
    if (It == m_Sockets.end())
      return;
    m_Handlers[It->second] = std::move(HandleDisconnect);
  }
  wakeUp();
}

void DisconnectWatch::unwatch(const std::string &ConnectionId) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Sockets.find(ConnectionId);
  if (It != m_Sockets.end())
    m_Handlers.erase(It->second);
}

bool DisconnectWatch::hasDisconnected(const std::string &ConnectionId) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Sockets.find(ConnectionId);
  if (It == m_Sockets.end())
    return true;
  pollfd Descriptor{It->second, POLLRDHUP, 0};
  return poll(&Descriptor, 1, 0) > 0;
}

void DisconnectWatch::callHandler(int Socket) {
  DisconnectHandler HandleDisconnect;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto It = m_Handlers.find(Socket);
    if (It == m_Handlers.end())
      return;
    HandleDisconnect = std::move(It->second);
    m_Handlers.erase(It);
  }
  HandleDisconnect();
}

void DisconnectWatch::run() {
  std::vector<pollfd> Descriptors;
  for (;;) {
    Descriptors.assign(1, {m_WakeEvent, POLLIN, 0});
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (m_Stopped)
        return;
      for (const auto &Handler : m_Handlers)
        Descriptors.push_back({Handler.first, POLLRDHUP, 0});
    }
    if (poll(Descriptors.data(), Descriptors.size(), -1) <= 0)
      continue;
    eventfd_t Count = 0;
    // Reads nothing if a socket woke the thread.
    [[maybe_unused]] auto Read = eventfd_read(m_WakeEvent, &Count);
    for (std::size_t I = 1; I < Descriptors.size(); ++I)
      if (Descriptors[I].revents != 0)
        callHandler(Descriptors[I].fd);
  }
}

} // namespace cyclamenwalk
