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

/// Longest stay in curl_multi_poll; new requests wake it up.
constexpr int PollMilliseconds = 60000;
constexpr long MaxIdleConnections = 64;

size_t appendBody(char *Data, size_t Size, size_t Count, void *Target) {
  static_cast<std::string *>(Target)->append(Data, Size * Count);
  return Size * Count;
}

/// One request under way.
struct Transfer {
  HttpRequest m_Request;
  Duration m_Timeout{};
  IHttpClient::Done m_Done;
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
      throw Error(ResultCode::Internal, "no HTTP client can be made");
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
    for (auto &Known : m_Transfers) {
      curl_multi_remove_handle(m_Multi, Known.first);
      curl_easy_cleanup(Known.first);
      curl_slist_free_all(Known.second->m_Headers);
    }
    for (CURL *Idle : m_Idle)
      curl_easy_cleanup(Idle);
    curl_multi_cleanup(m_Multi);
  }

  void send(HttpRequest Request, Duration Timeout, Done Call) {
    auto Added = std::make_unique<Transfer>();
    Added->m_Request = std::move(Request);
    Added->m_Timeout = Timeout;
    Added->m_Done = std::move(Call);
    bool IsFirst = false;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      IsFirst = m_Queue.empty();
      m_Queue.push_back(std::move(Added));
    }
    if (IsFirst)
      curl_multi_wakeup(m_Multi);
  }

private:
  using TransferPointer = std::unique_ptr<Transfer>;

  void run() {
    while (takeQueue()) {
      int Running = 0;
      curl_multi_perform(m_Multi, &Running);
      finishDone();
      curl_multi_poll(m_Multi, nullptr, 0, PollMilliseconds, nullptr);
    }
  }

  bool takeQueue() {
    std::vector<TransferPointer> Added;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (m_Stopped)
        return false;
      Added.swap(m_Queue);
    }
    for (TransferPointer &Next : Added)
      begin(std::move(Next));
    return true;
  }

  CURL *takeHandle() {
    if (m_Idle.empty())
      return curl_easy_init();
    CURL *Handle = m_Idle.back();
    m_Idle.pop_back();
    curl_easy_reset(Handle);
    return Handle;
  }

  void begin(TransferPointer Next) {
    CURL *Handle = takeHandle();
    Transfer &Begun = *Next;
    const HttpRequest &Request = Begun.m_Request;
    curl_easy_setopt(Handle, CURLOPT_URL, Request.m_Url.c_str());
    curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.m_Method.c_str());
    curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(toMilliseconds(Begun.m_Timeout)));
    curl_easy_setopt(
        Handle, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(toMilliseconds(m_Settings.m_ConnectTimeout)));
    curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Begun.m_Response.m_Body);
    if (Request.m_Method != "GET") {
      curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.m_Body.data());
      curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(Request.m_Body.size()));
    }
    setHeaders(Handle, Begun);
    m_Transfers.emplace(Handle, std::move(Next));
    curl_multi_add_handle(m_Multi, Handle);
  }

  static void setHeaders(CURL *Handle, Transfer &Begun) {
    // Without it curl waits for a go-ahead before it sends larger bodies.
    Begun.m_Headers = curl_slist_append(nullptr, "Expect:");
    for (const auto &Header : Begun.m_Request.m_Headers) {
      std::string Line = Header.first;
      Line += ": ";
      Line += Header.second;
      Begun.m_Headers = curl_slist_append(Begun.m_Headers, Line.c_str());
    }
    curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Begun.m_Headers);
  }

  void finishDone() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(m_Multi, &Left))
      if (Message->msg == CURLMSG_DONE)
        finish(Message->easy_handle, Message->data.result);
  }

  void finish(CURL *Handle, CURLcode Result) {
    auto Found = m_Transfers.find(Handle);
    TransferPointer Ended = std::move(Found->second);
    m_Transfers.erase(Found);
    HttpResponse &Response = Ended->m_Response;
    long Status = 0;
    if (Result == CURLE_OK)
      curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
    Response.m_Status = static_cast<int>(Status);
    Response.m_WasSent = !cannotHaveBeenSent(Result);
    curl_multi_remove_handle(m_Multi, Handle);
    curl_slist_free_all(Ended->m_Headers);
    m_Idle.push_back(Handle);
    if (Result != CURLE_OK)
      logEvent(LogLevel::Debug, "http.no_response",
               {{"url", Ended->m_Request.m_Url},
                {"reason", curl_easy_strerror(Result)}});
    m_Control.post([Call = std::move(Ended->m_Done),
                    Response = std::move(Response)]() mutable {
      Call(std::move(Response));
    });
  }

  const MultiplexSettings m_Settings;
  IControlQueue &m_Control;
  CURLM *m_Multi;
  std::mutex m_Mutex;
  std::vector<TransferPointer> m_Queue;
  bool m_Stopped = false;
  // The members below belong to the traffic thread.
  std::map<CURL *, TransferPointer> m_Transfers;
  std::vector<CURL *> m_Idle;
  std::thread m_Thread;
};

MultiplexHttp::MultiplexHttp(const MultiplexSettings &Settings,
                             IControlQueue &Control)
    : m_Impl(std::make_unique<Impl>(Settings, Control)) {}
MultiplexHttp::~MultiplexHttp() = default;

void MultiplexHttp::send(HttpRequest Request, Duration Timeout, Done Call) {
  m_Impl->send(std::move(Request), Timeout, std::move(Call));
}

} // namespace cyclamenwalk
