#include "http/internal/disconnectwatch.h"

#include "core/error.h"

#include <array>
#include <poll.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace cyclamenwalk {

DisconnectWatch::DisconnectWatch() : m_Epoll(epoll_create1(EPOLL_CLOEXEC)) {
  if (m_Epoll < 0)
    throw Error(ResultCode::Internal, "cannot create an epoll instance");
}

DisconnectWatch::~DisconnectWatch() { close(m_Epoll); }

void DisconnectWatch::addConnection(std::uint64_t Connection, int Socket) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Connections[Connection] = {Socket, nullptr};
}

void DisconnectWatch::removeConnection(std::uint64_t Connection) {
  unwatch(Connection);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Connections.erase(Connection);
}

void DisconnectWatch::watch(std::uint64_t Connection,
                            DisconnectHandler HandleDisconnect) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Connections.find(Connection);
  if (It == m_Connections.end())
    return;
  bool IsRegistered = It->second.m_HandleDisconnect != nullptr;
  It->second.m_HandleDisconnect = std::move(HandleDisconnect);
  epoll_event Event{};
  Event.events = EPOLLRDHUP | EPOLLONESHOT;
  Event.data.u64 = Connection;
  epoll_ctl(m_Epoll, IsRegistered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
            It->second.m_Socket, &Event);
}

void DisconnectWatch::unwatch(std::uint64_t Connection) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Connections.find(Connection);
  if (It == m_Connections.end() || !It->second.m_HandleDisconnect)
    return;
  It->second.m_HandleDisconnect = nullptr;
  epoll_ctl(m_Epoll, EPOLL_CTL_DEL, It->second.m_Socket, nullptr);
}

bool DisconnectWatch::hasDisconnected(std::uint64_t Connection) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Connections.find(Connection);
  if (It == m_Connections.end())
    return true;
  pollfd Descriptor{It->second.m_Socket, POLLRDHUP, 0};
  return poll(&Descriptor, 1, 0) > 0;
}

DisconnectWatch::DisconnectHandler
DisconnectWatch::takeHandler(std::uint64_t Connection) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Connections.find(Connection);
  if (It == m_Connections.end() || !It->second.m_HandleDisconnect)
    return nullptr;
  epoll_ctl(m_Epoll, EPOLL_CTL_DEL, It->second.m_Socket, nullptr);
  return std::exchange(It->second.m_HandleDisconnect, nullptr);
}

void DisconnectWatch::dispatch() {
  retryHandlers();
  constexpr int MaxEvents = 32;
  std::array<epoll_event, MaxEvents> Events{};
  int Count = epoll_wait(m_Epoll, Events.data(), MaxEvents, 0);
  for (int I = 0; I < Count; ++I) {
    auto HandleDisconnect =
        takeHandler(Events.at(static_cast<std::size_t>(I)).data.u64);
    if (HandleDisconnect && !HandleDisconnect())
      m_Undelivered.push_back(std::move(HandleDisconnect));
  }
}

void DisconnectWatch::retryHandlers() {
  std::erase_if(m_Undelivered, [](const DisconnectHandler &HandleDisconnect) {
    return HandleDisconnect();
  });
}

} // namespace cyclamenwalk
