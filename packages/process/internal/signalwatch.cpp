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
    // Stops the thread.
    sigaddset(&m_Signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &m_Signals, nullptr);
    // A write to a connection that the peer closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
  }

  ~Impl() { stop(); }

  void stop() {
    if (!m_Thread.joinable())
      return;
    m_IsStopping = true;
    pthread_kill(m_Thread.native_handle(), SIGUSR1);
    m_Thread.join();
  }

  void start(std::function<void()> OnTerminate,
             std::function<void()> OnReload) {
    m_Thread = std::thread([this, OnTerminate = std::move(OnTerminate),
                            OnReload = std::move(OnReload)] {
      int Signal = 0;
      while (sigwait(&m_Signals, &Signal) == 0 && !m_IsStopping) {
        if (Signal == SIGHUP && OnReload)
          OnReload();
        else if (Signal == SIGTERM || Signal == SIGINT)
          OnTerminate();
      }
    });
  }

private:
  sigset_t m_Signals;
  std::atomic<bool> m_IsStopping = false;
  std::thread m_Thread;
};

SignalWatch::SignalWatch() : m_Impl(std::make_unique<Impl>()) {}
SignalWatch::~SignalWatch() = default;

void SignalWatch::start(std::function<void()> OnTerminate,
                        std::function<void()> OnReload) {
  m_Impl->start(std::move(OnTerminate), std::move(OnReload));
}

void SignalWatch::stop() { m_Impl->stop(); }

} // namespace cyclamenwalk
