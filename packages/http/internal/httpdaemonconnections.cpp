#include "core/log.h"
#include "http/internal/httpdaemon.h"
#include "http/internal/rawhttp.h"

#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenwalk {

namespace {

constexpr int MaxAcceptsInTurn = 64;
/// Connections that are closed at most for one allocation.
constexpr int MaxShedAtOnce = 4;

void logRefusal(const char *Event, const std::string &Listen,
                const char *Reason) {
  logEvent(LogLevel::Info, Event, {{"listener", Listen}, {"reason", Reason}});
}

bool isOutOfDescriptors(int ErrorNumber) {
  return ErrorNumber == EMFILE || ErrorNumber == ENFILE ||
         ErrorNumber == ENOBUFS || ErrorNumber == ENOMEM;
}

const char *toString(CloseReason Reason) {
  return Reason == CloseReason::HeaderTooSlow ? "slow_header" : "slow_reader";
}

} // namespace

void HttpDaemon::resumeAccepting() {
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = m_Listener.descriptor();
  m_IsAccepting =
      epoll_ctl(m_Epoll, EPOLL_CTL_ADD, m_Listener.descriptor(), &Event) == 0;
}

/// Until the next check, since the listening socket stays readable while no
/// connection can be accepted.
void HttpDaemon::pauseAccepting() {
  epoll_ctl(m_Epoll, EPOLL_CTL_DEL, m_Listener.descriptor(), nullptr);
  m_IsAccepting = false;
  m_NextCheck = Clock::now() + ConnectionTable::CheckPeriod;
}

void HttpDaemon::acceptConnections() {
  for (int I = 0; I < MaxAcceptsInTurn; ++I) {
    sockaddr_in Caller{};
    int Socket = m_Listener.accept(Caller);
    if (Socket >= 0) {
      admit(Socket, Caller);
    } else if (isOutOfDescriptors(errno)) {
      logRefusal("http.accept_failed", m_Settings.m_Listen,
                 "no descriptor or memory");
      shedConnection(0);
      return pauseAccepting();
    } else if (errno != ECONNABORTED && errno != EINTR) {
      return;
    }
  }
}

void HttpDaemon::admit(int Socket, const sockaddr_in &Caller) {
  Charge Memory;
  bool IsAdmitted = tryAdmit(Memory);
  for (bool HasShed = false; !IsAdmitted;) {
    // Closes connections that were shed, or that their clients have closed.
    runLibrary();
    IsAdmitted = tryAdmit(Memory);
    if (!IsAdmitted && (HasShed || !shedConnection(0)))
      return refuseConnection(Socket);
    HasShed = true;
  }
  m_Accepted[Socket] = std::move(Memory);
  if (MHD_add_connection(m_Library, Socket,
                         reinterpret_cast<const sockaddr *>(&Caller),
                         sizeof Caller) != MHD_YES)
    m_Accepted.erase(Socket);
}

bool HttpDaemon::tryAdmit(Charge &Memory) {
  std::size_t Open = m_Connections.size() + m_Accepted.size();
  return Open < m_Settings.m_Share.m_Connections &&
         Memory.tryReplace(m_Budget, ChargeClass::Connection,
                           connectionBytes(m_Settings.m_HeaderLimit));
}

void HttpDaemon::refuseConnection(int Socket) {
  count(Metric::ConnectionsRefused);
  logRefusal("http.connection_refused", m_Settings.m_Listen,
             "connections or memory used up");
  sendDirectly(Socket, encodeRefusal(nullptr, ResultCode::ClientsShed,
                                     "no connection is free"));
  shutdown(Socket, SHUT_WR);
  close(Socket);
}

/// Closes the connection that the table names, to make room for another one
/// than \p Except. Its memory counts as free at once; the library frees it in
/// the same turn of the polling thread.
bool HttpDaemon::shedConnection(ConnectionNumber Except) {
  auto Victim = m_Table.chooseVictim(Clock::now());
  if (!Victim || *Victim == Except)
    return false;
  ClientConnection &Client = *m_Connections.at(*Victim);
  logEvent(LogLevel::Info, "http.connection_shed",
           {{"listener", m_Settings.m_Listen},
            {"connection", Client.m_Number},
            {"used_bytes", m_Budget->used()}});
  count(Metric::ConnectionsShed);
  if (Client.m_Exchange &&
      Client.m_Exchange->m_State == ExchangeState::ReceivingBody)
    refuseWhileReceiving(*Client.m_Exchange, ResultCode::ClientsShed,
                         "the request made room for others");
  m_Table.setPhase(*Victim, ConnectionPhase::Closing, Clock::now());
  Client.m_Memory.reset();
  shutdown(Client.m_Socket, SHUT_RDWR);
  return true;
}

void HttpDaemon::closeSlow(ClientConnection &Client, CloseReason Reason) {
  if (Reason == CloseReason::BodyTooSlow && Client.m_Exchange)
    return refuseWhileReceiving(*Client.m_Exchange, ResultCode::RequestTooSlow,
                                "the body arrives too slowly");
  if (Reason == CloseReason::Idle)
    count(Metric::ConnectionsIdle);
  if (Reason == CloseReason::HeaderTooSlow)
    sendDirectly(Client.m_Socket,
                 encodeRefusal(nullptr, ResultCode::RequestTooSlow,
                               "the header arrives too slowly"));
  if (Reason == CloseReason::HeaderTooSlow ||
      Reason == CloseReason::ReaderTooSlow) {
    count(Metric::RequestsTooSlow);
    logEvent(LogLevel::Info, "http.client_too_slow",
             {{"listener", m_Settings.m_Listen},
              {"connection", Client.m_Number},
              {"code", static_cast<int>(ResultCode::RequestTooSlow)},
              {"reason", toString(Reason)}});
  }
  m_Table.setPhase(Client.m_Number, ConnectionPhase::Closing, Clock::now());
  shutdown(Client.m_Socket, SHUT_RDWR);
}

void HttpDaemon::onConnectionEvent(void *Daemon, MHD_Connection *Raw,
                                   void **Context,
                                   MHD_ConnectionNotificationCode Event) {
  auto *Self = static_cast<HttpDaemon *>(Daemon);
  if (Event == MHD_CONNECTION_NOTIFY_STARTED)
    Self->connectionOpened(Raw, Context);
  else
    Self->connectionClosed(*Context);
}

void HttpDaemon::connectionOpened(MHD_Connection *Raw, void **Context) {
  auto Client = std::make_unique<ClientConnection>();
  Client->m_Number = ++m_LastNumber;
  Client->m_Socket =
      MHD_get_connection_info(Raw, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  auto Accepted = m_Accepted.find(Client->m_Socket);
  if (Accepted != m_Accepted.end()) {
    Client->m_Memory = std::move(Accepted->second);
    m_Accepted.erase(Accepted);
  }
  *Context = Client.get();
  m_Table.add(Client->m_Number, Clock::now());
  m_Watch.addConnection(Client->m_Number, Client->m_Socket);
  m_Connections[Client->m_Number] = std::move(Client);
  m_OpenConnections = m_Connections.size();
}

void HttpDaemon::connectionClosed(void *Context) {
  if (!Context)
    return;
  ConnectionNumber Number = static_cast<ClientConnection *>(Context)->m_Number;
  m_Watch.removeConnection(Number);
  m_Table.remove(Number);
  m_Connections.erase(Number);
  m_OpenConnections = m_Connections.size();
}

/// Charges memory for a request, for which other connections make room.
bool HttpDaemon::tryCharge(Exchange &Current, ChargeClass Class,
                           std::uint64_t Bytes, bool IsCopied) {
  for (int I = 0;; ++I) {
    if (Current.m_Memory.tryReplace(m_Budget, Class, Bytes, IsCopied))
      return true;
    if (I == MaxShedAtOnce || !shedConnection(Current.m_Connection->m_Number))
      return false;
  }
}

} // namespace cyclamenwalk
