#ifndef CYCLAMENWALK_HTTP_INTERNAL_HTTPDAEMON_H
#define CYCLAMENWALK_HTTP_INTERNAL_HTTPDAEMON_H

#include "budget/connectiontable.h"
#include "budget/memorybudget.h"
#include "http/httpserver.h"
#include "http/internal/disconnectwatch.h"
#include "http/internal/exchange.h"
#include "http/internal/handlerpool.h"
#include "http/internal/listensocket.h"
#include "http/internal/responsequeue.h"
#include "http/internal/routetable.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <microhttpd.h>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace cyclamenwalk {

/// How a server makes the responses to refused requests.
struct RefusalHooks {
  HttpServer::RefusalHook m_Encode;
  HttpServer::Handler m_HandleTooLarge;
};

/// Polls the connections of a server on one thread, receives requests within
/// the limits and passes them to their handlers. ConnectionTable and
/// MemoryBudget decide what is refused or closed.
class HttpDaemon {
public:
  explicit HttpDaemon(const HttpServerSettings &Settings);
  HttpDaemon(const HttpDaemon &) = delete;
  HttpDaemon &operator=(const HttpDaemon &) = delete;
  ~HttpDaemon();

  RouteTable &routes() { return m_Routes; }
  RefusalHooks &refusals() { return m_Refusals; }
  DisconnectWatch &disconnectWatch() { return m_Watch; }

  /// The following functions are thread-safe.
  void setLimits(const RequestLimits &Limits);
  std::size_t running() const { return m_Running; }
  HttpServerUsage usage() const;
  void closeConnectionsAfterResponse() { m_IsClosing = true; }

  void start();
  void stop(Duration Timeout);

private:
  // The polling thread.
  void run();
  /// Nothing to wait until something happens.
  std::optional<Duration> pollTimeout();
  void dispatchEvents(std::optional<Duration> Timeout);
  void runLibrary();
  void deliverResponses();
  void applyNewLimits();
  void closeOverdue(TimePoint Now);
  static bool hasHeaderBegun(ClientConnection &Client, TimePoint Since);
  void shutDownAbandoned(TimePoint Now);
  void abortPending();

  // Connections.
  void acceptConnections();
  void admit(int Socket, const sockaddr_in &Caller);
  bool tryAdmit(Charge &Memory);
  void refuseConnection(int Socket);
  void pauseAccepting();
  void resumeAccepting();
  bool shedConnection(ConnectionNumber Except);
  void closeSlow(ClientConnection &Client, CloseReason Reason);
  static void onConnectionEvent(void *Daemon, MHD_Connection *Raw,
                                void **Context,
                                MHD_ConnectionNotificationCode Event);
  void connectionOpened(MHD_Connection *Raw, void **Context);
  void connectionClosed(void *Context);

  // Requests.
  static void *onRequestLine(void *Daemon, const char *Uri,
                             MHD_Connection *Raw);
  static MHD_Result onRequestData(void *Daemon, MHD_Connection *Raw,
                                  const char *Url, const char *Method,
                                  const char *Version, const char *Data,
                                  std::size_t *Size, void **Context);
  static void onRequestCompleted(void *Daemon, MHD_Connection *Raw,
                                 void **Context,
                                 MHD_RequestTerminationCode Reason);
  MHD_Result beginRequest(Exchange &Current, const char *Url,
                          const char *Method);
  MHD_Result receiveBody(Exchange &Current, const char *Data,
                         std::size_t &Size);
  bool tryReserve(Exchange &Current, std::size_t Bytes);
  bool tryCharge(Exchange &Current, ChargeClass Class, std::uint64_t Bytes,
                 bool IsCopied);
  MHD_Result finishBody(Exchange &Current);
  MHD_Result callHandler(Exchange &Current);
  HttpServer::Respond makeRespond(std::uint64_t Exchange) const;
  MHD_Result answer(Exchange &Current, HttpResponse Response);
  MHD_Result refuse(Exchange &Current, ResultCode Code,
                    const std::string &Detail);
  void refuseWhileReceiving(Exchange &Current, ResultCode Code,
                            const std::string &Detail);
  HttpResponse encodeRefusal(const HttpRequest *Request, ResultCode Code,
                             const std::string &Detail) const;
  void recordRefusal(const Exchange &Current, ResultCode Code,
                     const std::string &Detail) const;
  void count(Metric Counter) const;
  ConnectionLimits connectionLimits() const;

  const HttpServerSettings m_Settings;
  ListenSocket m_Listener;
  RouteTable m_Routes;
  RefusalHooks m_Refusals;
  DisconnectWatch m_Watch;
  HandlerPool m_Pool;
  const std::shared_ptr<MemoryBudget> m_Budget;
  const std::shared_ptr<ResponseQueue> m_Responses;
  std::atomic<std::size_t> m_Running = 0;
  std::atomic<std::size_t> m_OpenConnections = 0;
  std::atomic<bool> m_IsClosing = false;
  std::atomic<bool> m_IsStopping = false;
  std::atomic<bool> m_HasNewLimits = false;

  mutable std::mutex m_Mutex;
  /// Guarded by m_Mutex, like m_Unanswered.
  RequestLimits m_NewLimits;
  std::condition_variable m_Idle;
  /// Requests whose handler runs or whose response is being written.
  std::size_t m_Unanswered = 0;

  // The members below are used on the polling thread only.
  MHD_Daemon *m_Library = nullptr;
  int m_Epoll = -1;
  RequestLimits m_Limits;
  ConnectionTable m_Table;
  std::unordered_map<ConnectionNumber, std::unique_ptr<ClientConnection>>
      m_Connections;
  std::unordered_map<std::uint64_t, Exchange *> m_Exchanges;
  /// Memory of connections that were accepted, by socket, until the library
  /// takes them over.
  std::unordered_map<int, Charge> m_Accepted;
  std::uint64_t m_LastNumber = 0;
  TimePoint m_NextCheck;
  TimePoint m_NextQuietCheck;
  bool m_IsAccepting = false;
  bool m_IsWorkPending = false;
  std::thread m_Thread;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_HTTPDAEMON_H
