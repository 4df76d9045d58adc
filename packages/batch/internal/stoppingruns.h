#ifndef CYCLAMENWALK_BATCH_INTERNAL_STOPPINGRUNS_H
#define CYCLAMENWALK_BATCH_INTERNAL_STOPPINGRUNS_H

#include "batch/internal/batchjob.h"
#include "message/types/placement.h"
#include "statechart/ichartsource.h"

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <unordered_map>

namespace cyclamenwalk {

enum class StoppingRunState : std::uint8_t { Stopping, Lapsing, Ended };
enum class StoppingRunEvent { Ended, AgentLost, Lapsed };

template <> struct ChartNames<StoppingRunState> {
  static constexpr std::array<std::string_view, 3> Values{"stopping", "lapsing",
                                                          "ended"};
};
template <> struct ChartNames<StoppingRunEvent> {
  static constexpr std::array<std::string_view, 3> Values{"ended", "agentLost",
                                                          "lapsed"};
};

/// The runs of jobs that have ended, as long as the runs may be in progress.
class StoppingRuns {
public:
  /// \p LapseTime: after the loss of an agent, runs there have ended for want
  /// of a lease.
  StoppingRuns(Duration LapseTime, const IChartSource &Charts,
               ITimerService &Timers);
  ~StoppingRuns();

  /// Adds the latest run of \p Task.
  void add(const BatchTask &Task, bool IsAgentLost);

  /// Takes the result of a run; false if the run is not known here.
  bool receiveResult(Incarnation Agent, const RunResult &Result);

  void agentLost(Incarnation Agent);

  /// Whether runs of a job of that name may be in progress.
  bool hasRunsOf(const std::string &Job) const;

private:
  using Key = std::tuple<Incarnation, JobId, std::uint32_t, std::uint32_t>;

  struct StoppingRun {
    StoppingRunState m_State = StoppingRunState::Stopping;
    Key m_Key;
    std::string m_Job;
    TimerId m_Timer = 0;
  };

  /// A name that no other job may have.
  struct HeldName {
    std::size_t m_Runs = 0;
    TimePoint m_Since;
  };

  using RunPointer = std::shared_ptr<StoppingRun>;
  using Chart = BoundChart<StoppingRun, StoppingRunState, StoppingRunEvent>;

  Chart bindChart(const IChartSource &Charts);
  void awaitLapse(StoppingRun &Run);
  void fire(const RunPointer &Run, StoppingRunEvent Event);
  void release(const StoppingRun &Ended, StoppingRunEvent Cause);

  const Duration m_LapseTime;
  ITimerService &m_Timers;
  const Chart m_Chart;
  std::map<Key, RunPointer> m_Runs;
  std::unordered_map<std::string, HeldName> m_Names;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_INTERNAL_STOPPINGRUNS_H
