#ifndef CYCLAMENWALK_WORKER_INTERNAL_WORKERSERVICE_H
#define CYCLAMENWALK_WORKER_INTERNAL_WORKERSERVICE_H

#include "worker/internal/backendsession.h"

#include <map>

namespace cyclamenwalk {

class WorkerService final : public IWorkerService {
public:
  WorkerService(WorkerSettings Settings, WorkerDependencies Needs);
  ~WorkerService() override;

  void announce(const BackendAnnouncement &Said) override;
  void withdraw(const std::string &Instance) override;
  void drain() override;
  void entryUp(const Peer &Entry) override;
  void entryDown(const Peer &Entry) override;
  void receive(Incarnation Entry, Message &Body) override;
  std::size_t running() const override;

private:
  using SessionPointer = std::shared_ptr<BackendSession>;

  struct LinkedEntry {
    std::uint64_t m_PlacementsSeen = 0;
    std::vector<RunResult> m_RunResults;
    /// Whether it has to be told of the worker's state.
    bool m_IsBehind = true;
    /// What it was told last, and when.
    WorkerReport m_Told;
    TimePoint m_ToldAt;
    /// Reports alone are this far apart at least.
    Duration m_Pace{};
  };

  SessionPointer findSession(const std::string &Instance) const;
  SessionPointer current() const;
  void openSession(const BackendAnnouncement &Said);
  void dropGone();
  void receivePlacement(Incarnation Entry, PlaceTasks &Body);
  void refuse(Incarnation Entry, const PlaceTasks &Body,
              const std::vector<PlacedTask> &Tasks);
  void stopJob(JobId Job);
  void noteEnd(const Run &Ended);
  void noteChange();
  void noteHopeless(const Run &Late);
  void scheduleFlush(Duration Delay);
  void flush();
  Duration nextReport(const LinkedEntry &Known,
                      const WorkerReport &State) const;
  void flushTo(Incarnation Entry, LinkedEntry &Known,
               const WorkerReport &State);
  void checkOverdue();

  const WorkerSettings m_Settings;
  const WorkerDependencies m_Needs;
  ITimerService &m_Timers;
  std::map<Incarnation, LinkedEntry> m_Entries;
  /// The newest life last.
  std::vector<SessionPointer> m_Sessions;
  bool m_IsDraining = false;
  TimerId m_FlushTimer = 0;
  TimerId m_OverdueTimer = 0;
  TimePoint m_FlushAt;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_WORKERSERVICE_H
