#include "http/internal/disconnectwatch.h"

#include "core/error.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <vector>

namespace cyclamenwalk {

DisconnectWatch::DisconnectWatch() : m_WakeEvent(eventfd(0, EFD_NONBLOCK)) {
  if (m_WakeEvent < 0)
    throw Error(ResultCode::Internal, "no event descriptor can be made");
  m_Thread = std::thread([this] { run(); });
}

DisconnectWatch::~DisconnectWatch() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopped = true;
  }
  wake();
  m_Thread.join();
  close(m_WakeEvent);
}

void DisconnectWatch::wake() {
  // A full counter means that the thread is being woken already.
  [[maybe_unused]] auto Written = eventfd_write(m_WakeEvent, 1);
}

void DisconnectWatch::opened(const std::string &Connection, int Socket) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Sockets[Connection] = Socket;
}

void DisconnectWatch::closed(const std::string &Connection) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto Found = m_Sockets.find(Connection);
  if (Found == m_Sockets.end())
    return;
  m_Watched.erase(Found->second);
  m_Sockets.erase(Found);
}

void DisconnectWatch::watch(const std::string &Connection, Departed Hook) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto Found = m_Sockets.find(Connection);
    if (Found == m_Sockets.end())
      return;
    m_Watched[Found->second] = std::move(Hook);
  }
  wake();
}

void DisconnectWatch::unwatch(const std::string &Connection) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto Found = m_Sockets.find(Connection);
  if (Found != m_Sockets.end())
    m_Watched.erase(Found->second);
}

bool DisconnectWatch::hasDisconnected(const std::string &Connection) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto Found = m_Sockets.find(Connection);
  if (Found == m_Sockets.end())
    return true;
  pollfd Asked{Found->second, POLLRDHUP, 0};
  return poll(&Asked, 1, 0) > 0;
}

void DisconnectWatch::notify(int Socket) {
  Departed Hook;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto Found = m_Watched.find(Socket);
    if (Found == m_Watched.end())
      return;
    Hook = std::move(Found->second);
    m_Watched.erase(Found);
  }
  Hook();
}

void DisconnectWatch::run() {
  std::vector<pollfd> Polled;
  for (;;) {
    Polled.assign(1, {m_WakeEvent, POLLIN, 0});
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (m_Stopped)
        return;
      for (const auto &Known : m_Watched)
        Polled.push_back({Known.first, POLLRDHUP, 0});
    }
    if (poll(Polled.data(), Polled.size(), -1) <= 0)
      continue;
    eventfd_t Count = 0;
    // Nothing to read when a socket woke the thread.
    [[maybe_unused]] auto Read = eventfd_read(m_WakeEvent, &Count);
    for (std::size_t I = 1; I < Polled.size(); ++I)
      if (Polled[I].revents != 0)
        notify(Polled[I].fd);
  }
}

} // namespace cyclamenwalk
