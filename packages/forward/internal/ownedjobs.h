#ifndef CYCLAMENWALK_FORWARD_INTERNAL_OWNEDJOBS_H
#define CYCLAMENWALK_FORWARD_INTERNAL_OWNEDJOBS_H

#include "forward/forwardmodule.h"
#include "statechart/boundchart.h"

#include <map>

namespace cyclamenwalk {

enum class OwnedJobState : std::uint8_t { Running, Abandoned, Ended };
enum class OwnedJobEvent { Ended, Cancel, ForwarderLost };

template <> struct ChartNames<OwnedJobState> {
  static constexpr std::array<std::string_view, 3> Values{"running",
                                                          "abandoned", "ended"};
};
template <> struct ChartNames<OwnedJobEvent> {
  static constexpr std::array<std::string_view, 3> Values{"ended", "cancel",
                                                          "forwarderLost"};
};

/// The jobs that this entry owns for other entries.
class OwnedJobs {
public:
  /// \p CurrentState is sent along with each answer.
  OwnedJobs(ForwardDependencies Dependencies,
            std::function<PlacerState()> CurrentState);

  void receive(Incarnation Forwarder, ForwardJob Body);
  void cancel(Incarnation Forwarder, const CancelForwardedJob &Body);

  /// Cancels the jobs of an entry that can't receive their answers.
  void forwarderDown(Incarnation Forwarder);

  /// Whether a job of the entry has not ended and its forwarder is not lost.
  bool hasJobsOf(Incarnation Forwarder) const {
    return m_RunningJobs.count(Forwarder) > 0;
  }

  /// When the forwarders of all these jobs were confirmed alive;
  /// TimePoint::max() for none.
  TimePoint forwardersAliveAt() const;

  /// Refuses new jobs from now on.
  void drain() { m_IsDraining = true; }

  /// Whether an answer may not have arrived yet.
  bool hasRecentAnswers() const;

private:
  struct OwnedJob {
    OwnedJobState m_State = OwnedJobState::Running;
    Incarnation m_Forwarder;
    std::uint64_t m_Request = 0;
    JobId m_Job;
    /// Whether it is counted in m_RunningJobs.
    bool m_IsCounted = false;
    BatchAnswer m_Answer;
  };
  using Key = std::pair<Incarnation, std::uint64_t>;
  using JobPointer = std::shared_ptr<OwnedJob>;
  using Chart = BoundChart<OwnedJob, OwnedJobState, OwnedJobEvent>;

  Chart bindChart(const IChartSource &Charts);
  void sendAnswer(const OwnedJob &Job);
  void fire(const JobPointer &Job, OwnedJobEvent Event);
  void countRunning(OwnedJob &Job);
  void uncountRunning(OwnedJob &Job);

  const ForwardDependencies m_Dependencies;
  const std::function<PlacerState()> m_CurrentState;
  const Chart m_Chart;
  std::map<Key, JobPointer> m_Jobs;
  /// The number of jobs of each forwarder in state Running.
  std::map<Incarnation, std::size_t> m_RunningJobs;
  bool m_IsDraining = false;
  TimePoint m_LastAnswerAt;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_INTERNAL_OWNEDJOBS_H
