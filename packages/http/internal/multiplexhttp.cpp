#include "http/multiplexhttp.h"

#include "core/error.h"
#include "http/internal/httptransfer.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenwalk {

namespace {

/// Timeout of curl_multi_poll, which a new request interrupts.
constexpr int PollTimeoutMilliseconds = 60000;
constexpr long MaxIdleConnections = 64;

} // namespace

class MultiplexHttp::Impl {
public:
  Impl(const MultiplexSettings &Settings, IControlQueue &Control)
      : m_Settings(Settings), m_Control(Control), m_Multi(curl_multi_init()) {
    if (!m_Multi)
      throw Error(ResultCode::Internal, "cannot create a curl multi handle");
    curl_multi_setopt(m_Multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(m_Settings.m_ConnectionsPerHost));
    curl_multi_setopt(m_Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    m_Thread = std::thread([this] { run(); });
  }

  ~Impl() {
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      m_Stopped = true;
    }
    curl_multi_wakeup(m_Multi);
    m_Thread.join();
    for (auto &Entry : m_Transfers) {
      curl_multi_remove_handle(m_Multi, Entry.first);
      curl_easy_cleanup(Entry.first);
    }
    for (CURL *Handle : m_IdleHandles)
      curl_easy_cleanup(Handle);
    curl_multi_cleanup(m_Multi);
  }

  void send(HttpRequest Request, Duration Timeout, Done HandleResponse) {
    auto Next = std::make_unique<HttpTransfer>(
        std::move(Request), Timeout, std::move(HandleResponse), m_Connections);
    bool IsFirst = false;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      IsFirst = m_Queue.empty();
      m_Queue.push_back(std::move(Next));
    }
    if (IsFirst)
      curl_multi_wakeup(m_Multi);
  }

private:
  using TransferPointer = std::unique_ptr<HttpTransfer>;

  void run() {
    while (startQueued()) {
      int Running = 0;
      curl_multi_perform(m_Multi, &Running);
      finishCompleted();
      curl_multi_poll(m_Multi, nullptr, 0, PollTimeoutMilliseconds, nullptr);
    }
  }

  /// False once the client is being destroyed.
  bool startQueued() {
    std::vector<TransferPointer> Queued;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (m_Stopped)
        return false;
      Queued.swap(m_Queue);
    }
    for (TransferPointer &Next : Queued)
      start(std::move(Next));
    return true;
  }

  CURL *takeHandle() {
    if (m_IdleHandles.empty())
      return curl_easy_init();
    CURL *Handle = m_IdleHandles.back();
    m_IdleHandles.pop_back();
    curl_easy_reset(Handle);
    return Handle;
  }

  void start(TransferPointer Next) {
    CURL *Handle = takeHandle();
    Next->configure(Handle, m_Settings.m_ConnectTimeout);
    m_Transfers.emplace(Handle, std::move(Next));
    curl_multi_add_handle(m_Multi, Handle);
  }

  void finishCompleted() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_Multi, &Remaining))
      if (Message->msg == CURLMSG_DONE)
        finish(Message->easy_handle, Message->data.result);
  }

  void finish(CURL *Handle, CURLcode Result) {
    auto It = m_Transfers.find(Handle);
    TransferPointer Finished = std::move(It->second);
    m_Transfers.erase(It);
    Finished->finish(Handle, Result);
    curl_multi_remove_handle(m_Multi, Handle);
    m_IdleHandles.push_back(Handle);
    if (Finished->hasKeptConnectionTimedOut())
      shutDownIdleConnections(Finished->server());
    m_Control.post([HandleResponse = Finished->takeDone(),
                    Response = Finished->takeResponse()]() mutable {
      HandleResponse(std::move(Response));
    });
  }

  /// Connections may go silent together and stay so, without a reset.
  void shutDownIdleConnections(const std::string &Server) const {
    m_Connections.shutDownIdle(
        Server, [this](curl_socket_t Socket, int LocalPort) {
          return std::any_of(m_Transfers.begin(), m_Transfers.end(),
                             [=](const auto &Item) {
                               return Item.second->uses(Socket, LocalPort);
                             });
        });
  }

  const MultiplexSettings m_Settings;
  IControlQueue &m_Control;
  CURLM *m_Multi;
  std::mutex m_Mutex;
  std::vector<TransferPointer> m_Queue;
  bool m_Stopped = false;
  // The following are used on the traffic thread only.
  OpenConnections m_Connections;
  std::map<CURL *, TransferPointer> m_Transfers;
  std::vector<CURL *> m_IdleHandles;
  std::thread m_Thread;
};

MultiplexHttp::MultiplexHttp(const MultiplexSettings &Settings,
                             IControlQueue &Control)
    : m_Impl(std::make_unique<Impl>(Settings, Control)) {}
MultiplexHttp::~MultiplexHttp() = default;

void MultiplexHttp::send(HttpRequest Request, Duration Timeout,
                         Done HandleResponse) {
  m_Impl->send(std::move(Request), Timeout, std::move(HandleResponse));
}

} // namespace cyclamenwalk
