#include "http/internal/handlerpool.h"

#include <utility>

namespace cyclamenwalk {

void HandlerPool::run(std::function<void()> Work) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_IsStopped)
    return;
  m_Queue.push_back(std::move(Work));
  if (m_Queue.size() > m_IdleThreads && m_Threads.size() < m_MaxThreads)
    m_Threads.emplace_back([this] { work(); });
  else
    m_WorkAvailable.notify_one();
}

void HandlerPool::work() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  for (;;) {
    ++m_IdleThreads;
    m_WorkAvailable.wait(Lock,
                         [this] { return m_IsStopped || !m_Queue.empty(); });
    --m_IdleThreads;
    if (m_IsStopped)
      return;
    auto Work = std::move(m_Queue.front());
    m_Queue.pop_front();
    Lock.unlock();
    Work();
    Work = nullptr;
    Lock.lock();
  }
}

void HandlerPool::stop() {
  std::vector<std::thread> Threads;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsStopped = true;
    m_Queue.clear();
    Threads.swap(m_Threads);
    m_WorkAvailable.notify_all();
  }
  for (std::thread &Current : Threads)
    Current.join();
}

} // namespace cyclamenwalk
