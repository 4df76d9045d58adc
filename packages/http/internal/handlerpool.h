#ifndef CYCLAMENWALK_HTTP_INTERNAL_HANDLERPOOL_H
#define CYCLAMENWALK_HTTP_INTERNAL_HANDLERPOOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenwalk {

/// Traffic threads for handlers that block. They are created when needed, up to
/// a limit, beyond which requests wait.
class HandlerPool {
public:
  explicit HandlerPool(std::size_t MaxThreads) : m_MaxThreads(MaxThreads) {}
  HandlerPool(const HandlerPool &) = delete;
  HandlerPool &operator=(const HandlerPool &) = delete;
  ~HandlerPool() { stop(); }

  void run(std::function<void()> Work);

  /// Discards what waits and blocks until the running handlers have returned.
  void stop();

private:
  void work();

  const std::size_t m_MaxThreads;
  std::mutex m_Mutex;
  std::condition_variable m_WorkAvailable;
  std::deque<std::function<void()>> m_Queue;
  std::size_t m_IdleThreads = 0;
  bool m_IsStopped = false;
  std::vector<std::thread> m_Threads;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_HANDLERPOOL_H
