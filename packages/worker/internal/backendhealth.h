#ifndef CYCLAMENWALK_WORKER_INTERNAL_BACKENDHEALTH_H
#define CYCLAMENWALK_WORKER_INTERNAL_BACKENDHEALTH_H

#include "core/itimerservice.h"
#include "policy/types/failuretest.h"
#include "statechart/boundchart.h"
#include "statechart/ichartsource.h"

#include <functional>
#include <string>

namespace cyclamenwalk {

enum class BackendHealthState { Healthy, Suspended, Probing };
enum class BackendHealthEvent {
  Stalled,
  FailureRateHigh,
  Failed,
  Succeeded,
  Progressed,
  PauseOver,
  Flapping
};

template <> struct ChartNames<BackendHealthState> {
  static constexpr std::array<std::string_view, 3> Values{
      "healthy", "suspended", "probing"};
};
template <> struct ChartNames<BackendHealthEvent> {
  static constexpr std::array<std::string_view, 7> Values{
      "stalled",    "failureRateHigh", "failed",  "succeeded",
      "progressed", "pauseOver",       "flapping"};
};

/// The health of the backend server, judged by the outcome and the progress of
/// its runs. A server whose runs fail or stall is suspended for a pause and
/// then probed with one run at a time.
class BackendHealth {
public:
  BackendHealth(std::string Instance, FailureTest Test,
                const IChartSource &Charts, ITimerService &Timers,
                std::function<void()> Changed);
  ~BackendHealth();

  /// The server has returned after repeated losses; it is suspended for
  /// \p Pause.
  void recordLosses(Duration Pause);

  /// Runs of the server make no progress.
  void recordStall();

  /// A run makes progress. After a stall this counts as a successful probe, so
  /// that long runs need not end first.
  void recordProgress();

  /// A run has succeeded or failed. The caller counts one failure per job,
  /// since the fault may lie with the job.
  void recordEnd(bool HasFailed);

  /// The number of runs that may be in progress at once.
  std::size_t runLimit() const;

private:
  struct Context {
    BackendHealthState m_State = BackendHealthState::Healthy;
    std::uint32_t m_Probes = 0;
    /// Whether the last suspension was due to a stall.
    bool m_HasStalled = false;
    Duration m_Pause{};
    /// The pause of a server that has returned after repeated losses.
    Duration m_ReturnPause{};
  };
  using Chart = BoundChart<Context, BackendHealthState, BackendHealthEvent>;

  Chart bind(const IChartSource &Charts);
  void fire(BackendHealthEvent Event);
  void suspendBackend(Context &Suspended);
  void startPause(Duration Pause);

  const std::string m_Instance;
  FailureTest m_Test;
  ITimerService &m_Timers;
  const std::function<void()> m_Changed;
  const Chart m_Chart;
  Context m_Context;
  TimerId m_Timer = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_BACKENDHEALTH_H
