#ifndef CYCLAMENWALK_CORE_TESTS_MOCKS_MANUALTIMERSERVICE_H
#define CYCLAMENWALK_CORE_TESTS_MOCKS_MANUALTIMERSERVICE_H

#include "core/internal/timertable.h"

namespace cyclamenwalk {

/// Timer service whose clock a test advances explicitly.
class ManualTimerService final : public ITimerService {
public:
  TimePoint now() const override { return m_Now; }

  TimerId subscribe(Duration Delay, Callback OnDue) override {
    return m_Timers.add(m_Now + Delay, Duration::zero(), std::move(OnDue));
  }

  TimerId subscribeEvery(Duration Period, Callback OnDue) override {
    return m_Timers.add(m_Now + Period, Period, std::move(OnDue));
  }

  void cancel(TimerId Id) override { m_Timers.cancel(Id); }

  /// Advances the clock by \p Span and calls the timers that become due in
  /// order.
  void advance(Duration Span) {
    TimePoint End = m_Now + Span;
    while (auto DueTime = m_Timers.nextDueTime()) {
      if (*DueTime > End)
        break;
      m_Now = std::max(m_Now, *DueTime);
      m_Timers.runNextDue(m_Now);
    }
    m_Now = End;
  }

  /// Advances the clock without calling timers, as if the process were paused.
  void pause(Duration Span) { m_Now += Span; }

private:
  TimePoint m_Now{seconds(1000)};
  TimerTable m_Timers;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TESTS_MOCKS_MANUALTIMERSERVICE_H
