#include "core/controlloop.h"

#include "core/error.h"
#include "core/internal/timertable.h"
#include "core/log.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace cyclamenwalk {

namespace {

/// Whether the program and its charts don't fit together, or it has found
/// itself in a state that it excludes. Going on could do harm.
bool isProgramError(ResultCode Code) {
  switch (Code) {
  case ResultCode::ChartUnreadable:
  case ResultCode::ChartUnknownElement:
  case ResultCode::ChartUnknownState:
  case ResultCode::ChartUnreachableState:
  case ResultCode::ChartUnboundHook:
  case ResultCode::ChartNameMismatch:
  case ResultCode::Internal:
    return true;
  default:
    return false;
  }
}

} // namespace

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
    m_NotFull.wait(Lock,
                   [this] { return m_Stopped || m_Queue.size() < m_Capacity; });
    if (m_Stopped)
      return false;
    push(std::move(Item));
    return true;
  }

  void stop() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopped = true;
    m_WorkAvailable.notify_all();
    m_NotFull.notify_all();
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
      m_WorkAvailable.notify_one();
  }

  /// Blocks until there is work or a timer is due; false once stopped.
  bool takeBatch() {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    auto HasWork = [this] { return m_Stopped || !m_Queue.empty(); };
    if (auto DueTime = m_Timers.nextDueTime())
      m_WorkAvailable.wait_until(Lock, *DueTime, HasWork);
    else
      m_WorkAvailable.wait(Lock, HasWork);
    m_Batch.swap(m_Queue);
    m_NotFull.notify_all();
    return !m_Stopped;
  }

  void runTimers() {
    bool HasMore = true;
    while (HasMore)
      catchErrors([&] { HasMore = m_Timers.runNextDue(Clock::now()); });
  }

  /// An exception costs the message or the timer call that threw it, not the
  /// process. An error of the program itself ends the process.
  template <typename Call> void catchErrors(Call Callback) {
    try {
      Callback();
    } catch (const Error &Caught) {
      if (isProgramError(Caught.code()))
        throw;
      logEvent(LogLevel::Error, "control.work_failed",
               {{"code", static_cast<int>(Caught.code())},
                {"detail", Caught.what()}});
    } catch (const std::exception &Caught) {
      logEvent(LogLevel::Error, "control.work_failed",
               {{"detail", Caught.what()}});
    }
  }

  void runBatch() {
    while (!m_Batch.empty()) {
      Work Item = std::move(m_Batch.front());
      m_Batch.pop_front();
      catchErrors(Item);
    }
  }

  const std::size_t m_Capacity;
  std::mutex m_Mutex;
  std::condition_variable m_WorkAvailable;
  std::condition_variable m_NotFull;
  std::deque<Work> m_Queue;
  bool m_Stopped = false;
  // The members below are used on the control thread only.
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

TimerId ControlLoop::subscribe(Duration Delay, Callback OnDue) {
  return m_Impl->timers().add(Clock::now() + Delay, Duration::zero(),
                              std::move(OnDue));
}

TimerId ControlLoop::subscribeEvery(Duration Period, Callback OnDue) {
  return m_Impl->timers().add(Clock::now() + Period, Period, std::move(OnDue));
}

void ControlLoop::cancel(TimerId Id) { m_Impl->timers().cancel(Id); }

} // namespace cyclamenwalk
