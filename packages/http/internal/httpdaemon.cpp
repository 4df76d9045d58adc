#include "http/internal/httpdaemon.h"

#include "core/error.h"
#include "core/log.h"
#include "http/internal/rawhttp.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenwalk {

namespace {

constexpr int MaxEvents = 16;
/// In the buffer of a connection, beside the header itself: what the library
/// stores for each of its lines, and the header of the response.
constexpr std::size_t ConnectionBufferOverhead = 8 * 1024;
/// Objects of the library and of this server for a connection.
constexpr std::size_t ConnectionObjectBytes = 2 * 1024;
/// More than the server admits, since the library leaves connections above its
/// limit unanswered.
constexpr unsigned SpareConnections = 64;
constexpr Duration QuietCheckPeriod = seconds(1);
constexpr Duration MaxWriteTime = seconds(30);

std::size_t bufferBytes(std::size_t HeaderLimit) {
  return HeaderLimit + ConnectionBufferOverhead;
}

RequestLimits limitsOf(const HttpServerSettings &Settings) {
  RequestLimits Limits;
  Limits.m_MaxHeaderBytes = Settings.m_HeaderLimit;
  Limits.m_MaxBodyBytes = Settings.m_BodyLimit;
  Limits.m_HeaderTimeout = Settings.m_HeaderTimeout;
  Limits.m_IdleTimeout = Settings.m_IdleTimeout;
  Limits.m_BodyBytesPerSecond = Settings.m_BodyBytesPerSecond;
  return Limits;
}

bool addToEpoll(int Epoll, int Descriptor) {
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = Descriptor;
  return epoll_ctl(Epoll, EPOLL_CTL_ADD, Descriptor, &Event) == 0;
}

} // namespace

std::size_t connectionBytes(std::size_t HeaderLimit) {
  return bufferBytes(HeaderLimit) + ConnectionObjectBytes;
}

HttpDaemon::HttpDaemon(const HttpServerSettings &Settings)
    : m_Settings(Settings), m_Listener(Settings.m_Listen),
      m_Pool(Settings.m_MaxHandlerThreads),
      m_Budget(std::make_shared<MemoryBudget>(Settings.m_Share.m_Bytes)),
      m_Responses(std::make_shared<ResponseQueue>()),
      m_Limits(limitsOf(Settings)) {
  m_Table.setLimits(connectionLimits());
}

HttpDaemon::~HttpDaemon() {
  stop(Duration::zero());
  m_Pool.stop();
}

ConnectionLimits HttpDaemon::connectionLimits() const {
  ConnectionLimits Limits;
  Limits.m_HeaderTimeout = m_Limits.m_HeaderTimeout;
  Limits.m_IdleTimeout = m_Limits.m_IdleTimeout;
  Limits.m_BodyBytesPerSecond = m_Limits.m_BodyBytesPerSecond;
  if (m_Limits.m_HeaderTimeout > Duration::zero())
    Limits.m_WriteTimeout = MaxWriteTime;
  return Limits;
}

void HttpDaemon::setLimits(const RequestLimits &Limits) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_NewLimits = Limits;
  m_NewLimits.m_MaxHeaderBytes =
      std::min(Limits.m_MaxHeaderBytes, m_Settings.m_HeaderLimit);
  m_HasNewLimits = true;
}

HttpServerUsage HttpDaemon::usage() const {
  return {m_Budget->used(), m_Budget->limit(), m_OpenConnections};
}

void HttpDaemon::count(Metric Counter) const {
  if (m_Settings.m_Metrics)
    m_Settings.m_Metrics->count(Counter);
}

void HttpDaemon::start() {
  m_Listener.open();
  MHD_OptionItem Options[] = {
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<std::intptr_t>(&HttpDaemon::onRequestCompleted), this},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<std::intptr_t>(&HttpDaemon::onRequestLine), this},
      {MHD_OPTION_NOTIFY_CONNECTION,
       reinterpret_cast<std::intptr_t>(&HttpDaemon::onConnectionEvent), this},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
       static_cast<std::intptr_t>(bufferBytes(m_Settings.m_HeaderLimit)),
       nullptr},
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<std::intptr_t>(m_Settings.m_Share.m_Connections +
                                  SpareConnections),
       nullptr},
      {MHD_OPTION_SIGPIPE_HANDLED_BY_APP, 1, nullptr},
      {MHD_OPTION_END, 0, nullptr}};
  m_Library = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
                                   MHD_USE_NO_LISTEN_SOCKET,
                               0, nullptr, nullptr, &HttpDaemon::onRequestData,
                               this, MHD_OPTION_ARRAY, Options, MHD_OPTION_END);
  m_Epoll = epoll_create1(EPOLL_CLOEXEC);
  const auto *Info =
      m_Library ? MHD_get_daemon_info(m_Library, MHD_DAEMON_INFO_EPOLL_FD)
                : nullptr;
  bool IsReady = m_Epoll >= 0 && Info && addToEpoll(m_Epoll, Info->epoll_fd) &&
                 addToEpoll(m_Epoll, m_Responses->descriptor()) &&
                 addToEpoll(m_Epoll, m_Watch.descriptor());
  if (!IsReady)
    throw Error(ResultCode::ListenFailed,
                "cannot set up an HTTP server for " + m_Settings.m_Listen);
  resumeAccepting();
  m_Thread = std::thread([this] { run(); });
}

void HttpDaemon::stop(Duration Timeout) {
  {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Idle.wait_for(Lock, Timeout, [this] { return m_Unanswered == 0; });
  }
  m_IsStopping = true;
  m_Responses->wakeUp();
  if (m_Thread.joinable())
    m_Thread.join();
  if (m_Library) {
    abortPending();
    MHD_stop_daemon(std::exchange(m_Library, nullptr));
  }
  m_Listener.close();
  if (m_Epoll >= 0)
    close(std::exchange(m_Epoll, -1));
}

/// The library may not be stopped while connections are suspended.
void HttpDaemon::abortPending() {
  for (const auto &[Number, Pending] : m_Exchanges)
    if (Pending->m_State == ExchangeState::Handling) {
      Pending->m_State = ExchangeState::Aborted;
      MHD_resume_connection(Pending->m_Raw);
    }
  MHD_run(m_Library);
}

void HttpDaemon::run() {
  // A client that is gone must not end the process.
  sigset_t Signals;
  sigfillset(&Signals);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  while (!m_IsStopping) {
    dispatchEvents(pollTimeout());
    applyNewLimits();
    deliverResponses();
    runLibrary();
    TimePoint Now = Clock::now();
    if (Now >= m_NextCheck)
      closeOverdue(Now);
  }
}

std::optional<Duration> HttpDaemon::pollTimeout() {
  if (m_IsWorkPending || !m_Responses->trySleep())
    return Duration::zero();
  bool IsChecking =
      m_Table.needsChecks() || !m_IsAccepting || m_Watch.hasUndelivered();
  if (!IsChecking)
    return std::nullopt;
  // Rounded up to what epoll counts in.
  return std::max(m_NextCheck - Clock::now(), Duration::zero()) +
         milliseconds(1);
}

void HttpDaemon::dispatchEvents(std::optional<Duration> Timeout) {
  std::array<epoll_event, MaxEvents> Events{};
  int Count =
      epoll_wait(m_Epoll, Events.data(), MaxEvents,
                 Timeout ? static_cast<int>(toMilliseconds(*Timeout)) : -1);
  for (int I = 0; I < Count; ++I) {
    int Descriptor = Events.at(static_cast<std::size_t>(I)).data.fd;
    eventfd_t Value = 0;
    if (Descriptor == m_Listener.descriptor())
      acceptConnections();
    else if (Descriptor == m_Watch.descriptor())
      m_Watch.dispatch();
    else if (Descriptor == m_Responses->descriptor()) [[maybe_unused]]
      auto Read = eventfd_read(Descriptor, &Value);
  }
}

void HttpDaemon::runLibrary() {
  MHD_run(m_Library);
  MHD_UNSIGNED_LONG_LONG Timeout = 0;
  m_IsWorkPending =
      MHD_get_timeout(m_Library, &Timeout) == MHD_YES && Timeout == 0;
}

void HttpDaemon::deliverResponses() {
  for (PostedResponse &Posted : m_Responses->take()) {
    auto It = m_Exchanges.find(Posted.m_Exchange);
    if (It == m_Exchanges.end() ||
        It->second->m_State != ExchangeState::Handling)
      continue;
    Exchange &Current = *It->second;
    Current.m_Response = std::move(Posted.m_Response);
    Current.m_State = ExchangeState::Answered;
    --m_Running;
    MHD_resume_connection(Current.m_Raw);
  }
}

void HttpDaemon::applyNewLimits() {
  if (!m_HasNewLimits.exchange(false))
    return;
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Limits = m_NewLimits;
  m_Table.setLimits(connectionLimits());
}

void HttpDaemon::closeOverdue(TimePoint Now) {
  m_NextCheck = Now + ConnectionTable::CheckPeriod;
  if (!m_IsAccepting)
    resumeAccepting();
  m_Watch.dispatch();
  shutDownAbandoned(Now);
  auto HasHeaderBegun = [this](ConnectionNumber Number, TimePoint Since) {
    return hasHeaderBegun(*m_Connections.at(Number), Since);
  };
  for (const ConnectionToClose &Overdue :
       m_Table.takeOverdue(Now, HasHeaderBegun)) {
    ClientConnection &Client = *m_Connections.at(Overdue.m_Number);
    bool IsWaiting = Overdue.m_Reason == CloseReason::HeaderTooSlow ||
                     Overdue.m_Reason == CloseReason::Idle;
    // A request that the library has yet to read may be complete.
    if (!IsWaiting || !hasUnreadBytes(Client.m_Socket))
      closeSlow(Client, Overdue.m_Reason);
  }
}

/// After a response, a header counts as begun only when bytes arrive between
/// two checks: a connection that is kept open for later requests has received
/// those of the earlier ones.
bool HttpDaemon::hasHeaderBegun(ClientConnection &Client, TimePoint Since) {
  std::uint64_t Bytes = receivedBytes(Client.m_Socket);
  if (!Client.m_HadRequest)
    return Bytes > 0;
  bool WasChecked = Client.m_CheckedSince == Since;
  bool HasGrown = WasChecked && Bytes > Client.m_CheckedBytes;
  Client.m_CheckedSince = Since;
  Client.m_CheckedBytes = Bytes;
  return HasGrown;
}

/// The library overlooks a client's end of connection that arrives together
/// with its last data.
void HttpDaemon::shutDownAbandoned(TimePoint Now) {
  if (Now < m_NextQuietCheck)
    return;
  m_NextQuietCheck = Now + QuietCheckPeriod;
  std::vector<pollfd> Sockets;
  for (ConnectionNumber Number : m_Table.listQuiet(Now))
    Sockets.push_back({m_Connections.at(Number)->m_Socket, POLLRDHUP, 0});
  if (poll(Sockets.data(), Sockets.size(), 0) <= 0)
    return;
  for (const pollfd &Socket : Sockets)
    if (Socket.revents != 0)
      shutdown(Socket.fd, SHUT_RDWR);
}

} // namespace cyclamenwalk
