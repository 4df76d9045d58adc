#ifndef CYCLAMENWALK_CORE_TESTS_MOCKS_MANUALTIMERSERVICE_H
#define CYCLAMENWALK_CORE_TESTS_MOCKS_MANUALTIMERSERVICE_H

#include "core/internal/timertable.h"

namespace cyclamenwalk {

/// Time that a test advances by hand.
class ManualTimerService final : public ITimerService {
public:
  TimePoint now() const override { return m_Now; }

  TimerId subscribe(Duration Delay, Callback Due) override {
    return m_Timers.add(m_Now + Delay, Duration::zero(), std::move(Due));
  }

  TimerId subscribeEvery(Duration Period, Callback Due) override {
    return m_Timers.add(m_Now + Period, Period, std::move(Due));
  }

  void cancel(TimerId Id) override { m_Timers.cancel(Id); }

  /// Moves time on by \p Span, calling what falls due in order.
  void advance(Duration Span) {
    TimePoint End = m_Now + Span;
    while (auto Due = m_Timers.nextDue()) {
      if (*Due > End)
        break;
      m_Now = std::max(m_Now, *Due);
      m_Timers.runOneDue(m_Now);
    }
    m_Now = End;
  }

  /// Moves time on without calling anything, as when a process is paused.
  void pause(Duration Span) { m_Now += Span; }

private:
  TimePoint m_Now{seconds(1000)};
  TimerTable m_Timers;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TESTS_MOCKS_MANUALTIMERSERVICE_H
