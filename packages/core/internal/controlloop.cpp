#include "core/controlloop.h"

#include "core/internal/timertable.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace cyclamenwalk {

class ControlLoop::Impl {
public:
  explicit Impl(std::size_t Capacity) : m_Capacity(Capacity) {}

  bool tryPost(Work Item) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (m_Stopped || m_Queue.size() >= m_Capacity)
      return false;
    push(std::move(Item));
    return true;
  }

  bool post(Work Item) {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Room.wait(Lock,
                [this] { return m_Stopped || m_Queue.size() < m_Capacity; });
    if (m_Stopped)
      return false;
    push(std::move(Item));
    return true;
  }

  void stop() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopped = true;
    m_Ready.notify_all();
    m_Room.notify_all();
  }

  void run() {
    while (takeBatch()) {
      runTimers();
      runBatch();
    }
    runBatch();
  }

  TimerTable &timers() { return m_Timers; }

private:
  void push(Work Item) {
    m_Queue.push_back(std::move(Item));
    if (m_Queue.size() == 1)
      m_Ready.notify_one();
  }

  /// Waits for work or a due timer; false once stopped.
  bool takeBatch() {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    auto HasWork = [this] { return m_Stopped || !m_Queue.empty(); };
    if (auto Due = m_Timers.nextDue())
      m_Ready.wait_until(Lock, *Due, HasWork);
    else
      m_Ready.wait(Lock, HasWork);
    m_Batch.swap(m_Queue);
    m_Room.notify_all();
    return !m_Stopped;
  }

  void runTimers() {
    while (m_Timers.runOneDue(Clock::now())) {
    }
  }

  void runBatch() {
    while (!m_Batch.empty()) {
      Work Item = std::move(m_Batch.front());
      m_Batch.pop_front();
      Item();
    }
  }

  const std::size_t m_Capacity;
  std::mutex m_Mutex;
  std::condition_variable m_Ready;
  std::condition_variable m_Room;
  std::deque<Work> m_Queue;
  bool m_Stopped = false;
  // The members below belong to the control thread.
  std::deque<Work> m_Batch;
  TimerTable m_Timers;
};

ControlLoop::ControlLoop(std::size_t Capacity)
    : m_Impl(std::make_unique<Impl>(Capacity)) {}
ControlLoop::~ControlLoop() = default;

void ControlLoop::run() { m_Impl->run(); }
void ControlLoop::stop() { m_Impl->stop(); }
bool ControlLoop::tryPost(Work Item) {
  return m_Impl->tryPost(std::move(Item));
}
bool ControlLoop::post(Work Item) { return m_Impl->post(std::move(Item)); }
TimePoint ControlLoop::now() const { return Clock::now(); }

TimerId ControlLoop::subscribe(Duration Delay, Callback Due) {
  return m_Impl->timers().add(Clock::now() + Delay, Duration::zero(),
                              std::move(Due));
}

TimerId ControlLoop::subscribeEvery(Duration Period, Callback Due) {
  return m_Impl->timers().add(Clock::now() + Period, Period, std::move(Due));
}

void ControlLoop::cancel(TimerId Id) { m_Impl->timers().cancel(Id); }

} // namespace cyclamenwalk
