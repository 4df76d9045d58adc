#include "http/httpclientmodule.h"

#include "http/blockinghttp.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenwalk {

class HttpClientModule::Impl final : public IHttpClient {
public:
  Impl(std::size_t Threads, IControlQueue &Control) : m_Control(Control) {
    for (std::size_t I = 0; I < Threads; ++I)
      m_Threads.emplace_back([this] { run(); });
  }

  ~Impl() override {
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      m_Stopped = true;
      m_Ready.notify_all();
    }
    for (std::thread &Running : m_Threads)
      Running.join();
  }

  void send(HttpRequest Request, Duration Timeout, Done Call) override {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Queue.push_back({std::move(Request), Timeout, std::move(Call)});
    m_Ready.notify_one();
  }

private:
  struct Item {
    HttpRequest m_Request;
    Duration m_Timeout{};
    Done m_Done;
  };

  bool take(Item &Next) {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Ready.wait(Lock, [this] { return m_Stopped || !m_Queue.empty(); });
    if (m_Stopped)
      return false;
    Next = std::move(m_Queue.front());
    m_Queue.pop_front();
    return true;
  }

  void run() {
    Item Next;
    while (take(Next)) {
      HttpResponse Response = callHttp(Next.m_Request, Next.m_Timeout);
      m_Control.post([Call = std::move(Next.m_Done),
                      Response = std::move(Response)]() mutable {
        Call(std::move(Response));
      });
    }
  }

  IControlQueue &m_Control;
  std::mutex m_Mutex;
  std::condition_variable m_Ready;
  std::deque<Item> m_Queue;
  bool m_Stopped = false;
  std::vector<std::thread> m_Threads;
};

HttpClientModule::HttpClientModule(std::size_t Threads, IControlQueue &Control)
    : m_Impl(std::make_unique<Impl>(Threads, Control)) {}
HttpClientModule::~HttpClientModule() = default;

IHttpClient &HttpClientModule::client() { return *m_Impl; }

} // namespace cyclamenwalk
