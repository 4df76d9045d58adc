#include "http/multiplexhttp.h"

#include "core/error.h"
#include "core/log.h"

#include <curl/curl.h>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenwalk {

namespace {

/// Timeout of curl_multi_poll, which a new request interrupts.
constexpr int PollTimeoutMilliseconds = 60000;
constexpr long MaxIdleConnections = 64;

size_t appendBody(char *Data, size_t Size, size_t Count, void *Target) {
  static_cast<std::string *>(Target)->append(Data, Size * Count);
  return Size * Count;
}

struct Transfer {
  HttpRequest m_Request;
  Duration m_Timeout{};
  IHttpClient::Done m_HandleResponse;
  HttpResponse m_Response;
  curl_slist *m_Headers = nullptr;
};

bool cannotHaveBeenSent(CURLcode Result) {
  return Result == CURLE_COULDNT_CONNECT ||
         Result == CURLE_COULDNT_RESOLVE_HOST;
}

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
      curl_slist_free_all(Entry.second->m_Headers);
    }
    for (CURL *Handle : m_IdleHandles)
      curl_easy_cleanup(Handle);
    curl_multi_cleanup(m_Multi);
  }

  void send(HttpRequest Request, Duration Timeout, Done HandleResponse) {
    auto Next = std::make_unique<Transfer>();
    Next->m_Request = std::move(Request);
    Next->m_Timeout = Timeout;
    Next->m_HandleResponse = std::move(HandleResponse);
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
  using TransferPointer = std::unique_ptr<Transfer>;

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
    Transfer &Started = *Next;
    const HttpRequest &Request = Started.m_Request;
    curl_easy_setopt(Handle, CURLOPT_URL, Request.m_Url.c_str());
    curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.m_Method.c_str());
    curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(toMilliseconds(Started.m_Timeout)));
    curl_easy_setopt(
        Handle, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(toMilliseconds(m_Settings.m_ConnectTimeout)));
    curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Started.m_Response.m_Body);
    if (Request.m_Method != "GET") {
      curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.m_Body.data());
      curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(Request.m_Body.size()));
    }
    setHeaders(Handle, Started);
    m_Transfers.emplace(Handle, std::move(Next));
    curl_multi_add_handle(m_Multi, Handle);
  }

  static void setHeaders(CURL *Handle, Transfer &Started) {
    // Otherwise curl waits for "100 Continue" before it sends a larger body.
    Started.m_Headers = curl_slist_append(nullptr, "Expect:");
    for (const auto &Header : Started.m_Request.m_Headers) {
      std::string Line = Header.first;
      Line += ": ";
      Line += Header.second;
      Started.m_Headers = curl_slist_append(Started.m_Headers, Line.c_str());
    }
    curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Started.m_Headers);
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
    HttpResponse &Response = Finished->m_Response;
    long Status = 0;
    if (Result == CURLE_OK)
      curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
    Response.m_Status = static_cast<int>(Status);
    Response.m_WasSent = !cannotHaveBeenSent(Result);
    curl_multi_remove_handle(m_Multi, Handle);
    curl_slist_free_all(Finished->m_Headers);
    m_IdleHandles.push_back(Handle);
    if (Result != CURLE_OK)
      logEvent(LogLevel::Debug, "http.no_response",
               {{"url", Finished->m_Request.m_Url},
                {"reason", curl_easy_strerror(Result)}});
    m_Control.post([HandleResponse = std::move(Finished->m_HandleResponse),
                    Response = std::move(Response)]() mutable {
      HandleResponse(std::move(Response));
    });
  }

  const MultiplexSettings m_Settings;
  IControlQueue &m_Control;
  CURLM *m_Multi;
  std::mutex m_Mutex;
  std::vector<TransferPointer> m_Queue;
  bool m_Stopped = false;
  // The following are used on the traffic thread only.
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
