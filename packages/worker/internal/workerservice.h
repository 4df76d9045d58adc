#ifndef CYCLAMENWALK_WORKER_INTERNAL_WORKERSERVICE_H
#define CYCLAMENWALK_WORKER_INTERNAL_WORKERSERVICE_H

#include "policy/types/lossbackoff.h"
#include "worker/internal/backendsession.h"
#include "worker/internal/evacuationchart.h"

#include <map>

namespace cyclamenwalk {

class WorkerService final : public IWorkerService {
public:
  WorkerService(WorkerSettings Settings, WorkerDependencies Dependencies);
  ~WorkerService() override;

  void announce(const BackendAnnouncement &Announcement) override;
  void deregister(const std::string &Instance) override;
  void drain() override;
  void setEvacuated(bool IsEvacuated) override;
  void entryUp(const Peer &Entry) override;
  void entryDown(const Peer &Entry) override;
  void receive(Incarnation Entry, Message &Body) override;
  void withdrawFrom(Incarnation Entry) override;
  std::size_t running() const override;

private:
  using SessionPointer = std::shared_ptr<BackendSession>;

  struct LinkedEntry {
    std::uint64_t m_PlacementsSeen = 0;
    /// Results to be sent with the next report.
    std::vector<RunResult> m_RunResults;
    /// Whether the worker's state has changed since m_LastReport.
    bool m_HasUnreportedChange = true;
    WorkerReport m_LastReport;
    TimePoint m_LastReportAt;
    /// Minimum time between reports that carry no results.
    Duration m_ReportInterval{};
    /// Whether the entry has been told to place no more tasks here.
    bool m_IsWithdrawn = false;
  };

  EvacuationChart bindEvacuation(const IChartSource &Charts);
  bool isEvacuated() const {
    return m_Evacuation.m_State == EvacuationCondition::Evacuated;
  }
  void returnWaitingRuns();
  SessionPointer findSession(const std::string &Instance) const;
  SessionPointer currentSession() const;
  void openSession(const BackendAnnouncement &Announcement);
  void pauseAfterLosses(BackendSession &Returned);
  void handleSessionChange();
  void replaceGoneSessions();
  void receivePlacement(Incarnation Entry, PlaceTasks &Body);
  void refuseTasks(Incarnation Entry, const PlaceTasks &Body,
                   const std::vector<PlacedTask> &Tasks);
  void stopJob(JobId Job);
  void stopRuns(Incarnation Entry, const std::string &Cause,
                const std::function<bool(const Run &)> &Matches);
  TimePoint runLimit(Incarnation Entry) const;
  void recordResult(const Run &Ended);
  void recordChange();
  void reportDeadlineMiss(const Run &Late);
  void scheduleReports(Duration Delay);
  void sendReports();
  Duration timeToNextReport(const LinkedEntry &Entry,
                            const WorkerReport &Report) const;
  void sendReportIfDue(Incarnation Id, LinkedEntry &Entry, WorkerReport Report);
  void checkOverdueRuns();
  void disconnectWhenIdle(Incarnation Entry);
  bool hasRunsOf(Incarnation Entry) const;

  const WorkerSettings m_Settings;
  const WorkerDependencies m_Dependencies;
  ITimerService &m_Timers;
  std::map<Incarnation, LinkedEntry> m_Entries;
  /// One for each instance at most; the last one was opened last.
  std::vector<SessionPointer> m_Sessions;
  /// The highest fencing token of the sessions that have ended.
  std::uint64_t m_HighestToken = 0;
  /// The latest end of a lease from the sessions that have ended.
  TimePoint m_LeaseEndsAt;
  const EvacuationChart m_EvacuationChart;
  EvacuationContext m_Evacuation;
  LossBackoff m_Losses;
  bool m_IsDraining = false;
  TimerId m_ReportTimer = 0;
  TimerId m_OverdueTimer = 0;
  TimerId m_ReplaceTimer = 0;
  /// When m_ReportTimer fires.
  TimePoint m_ReportDueAt;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_WORKERSERVICE_H
