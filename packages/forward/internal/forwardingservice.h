#ifndef CYCLAMENWALK_FORWARD_INTERNAL_FORWARDINGSERVICE_H
#define CYCLAMENWALK_FORWARD_INTERNAL_FORWARDINGSERVICE_H

#include "forward/internal/forwardedjob.h"
#include "forward/internal/ownedjobs.h"
#include "forward/internal/placertable.h"

#include <random>
#include <unordered_map>

namespace cyclamenwalk {

class ForwardingService final : public IForwardingService {
public:
  ForwardingService(Incarnation Entry, ForwardSettings Settings,
                    ForwardHooks Hooks, ForwardDependencies Dependencies);
  ~ForwardingService() override;

  JobId submit(BatchSpec Spec, BatchCallback Callback) override;
  void removeCaller(JobId Id) override;
  bool cancel(const std::string &Name) override;
  bool isRunning(const std::string &Name) const override;
  std::size_t waiting(const std::string &Route) const override;
  std::size_t running() const override;

  void entryUp(const Peer &Entry) override;
  void entryDown(const Peer &Entry) override;
  bool receive(Incarnation Entry, Message &Body) override;
  void drain() override;
  bool ownsJobsOf(Incarnation Entry) const override;
  TimePoint forwardersAliveAt() const override;
  bool hasPlacers() const override;

private:
  using JobPointer = std::shared_ptr<ForwardedJob>;

  ForwardedJobChart bindChart(const IChartSource &Charts);
  JobPointer addJob(BatchSpec Spec, BatchCallback Callback);
  std::optional<Incarnation> chooseOwner(const ForwardedJob &Job,
                                         bool RequiresRoom);
  void offer(const JobPointer &Job, Incarnation Owner);
  void submitHere(const JobPointer &Job);
  void receiveAnswer(const JobPointer &Job, const BatchAnswer &Answer);
  void cancelAtOwner(ForwardedJob &Job);
  void answerCallers(ForwardedJob &Job);
  void fire(const JobPointer &Job, ForwardedJobEvent Event);
  JobPointer find(std::uint64_t Request) const;

  PlacerState currentState() const;
  void sendStateIfChanged();

  const Incarnation m_Self;
  const ForwardSettings m_Settings;
  const ForwardHooks m_Hooks;
  const ForwardDependencies m_Dependencies;
  ITimerService &m_Timers;
  const ForwardedJobChart m_Chart;
  OwnedJobs m_OwnedJobs;
  PlacerTable m_Placers;
  std::set<Incarnation> m_Entries;
  std::unordered_map<std::uint64_t, JobPointer> m_Jobs;
  /// Jobs that have not been answered.
  std::unordered_map<std::string, std::uint64_t> m_JobsByName;
  std::uint64_t m_LastRequest = 0;
  std::mt19937_64 m_Random;
  bool m_IsDraining = false;
  PlacerState m_SentState;
  TimerId m_StateTimer = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_INTERNAL_FORWARDINGSERVICE_H
