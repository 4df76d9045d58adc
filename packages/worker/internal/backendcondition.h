#ifndef CYCLAMENWALK_WORKER_INTERNAL_BACKENDCONDITION_H
#define CYCLAMENWALK_WORKER_INTERNAL_BACKENDCONDITION_H

#include "core/itimerservice.h"
#include "policy/types/failuretest.h"
#include "statechart/boundchart.h"
#include "statechart/ichartsource.h"

#include <functional>
#include <string>

namespace cyclamenwalk {

enum class ConditionState { Sound, Resting, Probing };
enum class ConditionEvent {
  Stalled,
  Failing,
  Failed,
  Succeeded,
  GotOn,
  PauseOver
};

template <> struct ChartNames<ConditionState> {
  static constexpr std::array<std::string_view, 3> Values{"sound", "resting",
                                                          "probing"};
};
template <> struct ChartNames<ConditionEvent> {
  static constexpr std::array<std::string_view, 6> Values{
      "stalled", "failing", "failed", "succeeded", "gotOn", "pauseOver"};
};

/// Whether the backend server carries its runs out, by how they end and
/// whether they get on. One that does not rests, and is then tried with one
/// run at a time.
class BackendCondition {
public:
  BackendCondition(std::string Instance, FailureTest Test,
                   const IChartSource &Charts, ITimerService &Timers,
                   std::function<void()> Changed);
  ~BackendCondition();

  /// Runs of the server do not get on.
  void noteStall();

  /// A run gets on. After a stall that tells as much as its end, and earlier.
  void noteProgress();

  /// A run has ended by itself. The tasks of one job may fail for a reason of
  /// their own, so each job is counted once.
  void noteEnd(bool HasFailed);

  /// Runs that may be under way at once.
  std::size_t limit() const;

private:
  struct Context {
    ConditionState m_State = ConditionState::Sound;
    std::uint32_t m_Probes = 0;
    /// Whether it rested because its runs stood still.
    bool m_HasStalled = false;
    Duration m_Pause{};
  };
  using Chart = BoundChart<Context, ConditionState, ConditionEvent>;

  Chart bind(const IChartSource &Charts);
  void fire(ConditionEvent What);
  void rest(Context &Resting);

  const std::string m_Instance;
  FailureTest m_Test;
  ITimerService &m_Timers;
  const std::function<void()> m_Changed;
  const Chart m_Chart;
  Context m_Context;
  TimerId m_Timer = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_BACKENDCONDITION_H
