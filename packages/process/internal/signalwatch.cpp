#include "process/signalwatch.h"

#include <atomic>
#include <csignal>
#include <pthread.h>
#include <thread>

namespace cyclamenwalk {

class SignalWatch::Impl {
public:
  Impl() {
    sigemptyset(&m_Signals);
    sigaddset(&m_Signals, SIGTERM);
    sigaddset(&m_Signals, SIGINT);
    sigaddset(&m_Signals, SIGHUP);
    // Ends the watching thread.
    sigaddset(&m_Signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &m_Signals, nullptr);
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
  }

  ~Impl() {
    if (!m_Thread.joinable())
      return;
    m_IsEnding = true;
    pthread_kill(m_Thread.native_handle(), SIGUSR1);
    m_Thread.join();
  }

  void start(std::function<void()> Ending, std::function<void()> Reload) {
    m_Thread = std::thread(
        [this, Ending = std::move(Ending), Reload = std::move(Reload)] {
          int Signal = 0;
          while (sigwait(&m_Signals, &Signal) == 0 && !m_IsEnding) {
            if (Signal == SIGHUP && Reload)
              Reload();
            else if (Signal == SIGTERM || Signal == SIGINT)
              Ending();
          }
        });
  }

private:
  sigset_t m_Signals;
  std::atomic<bool> m_IsEnding = false;
  std::thread m_Thread;
};

SignalWatch::SignalWatch() : m_Impl(std::make_unique<Impl>()) {}
SignalWatch::~SignalWatch() = default;

void SignalWatch::start(std::function<void()> Ending,
                        std::function<void()> Reload) {
  m_Impl->start(std::move(Ending), std::move(Reload));
}

} // namespace cyclamenwalk
