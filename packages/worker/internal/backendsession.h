#ifndef CYCLAMENWALK_WORKER_INTERNAL_BACKENDSESSION_H
#define CYCLAMENWALK_WORKER_INTERNAL_BACKENDSESSION_H

#include "worker/internal/backendhealth.h"
#include "worker/internal/backfill.h"
#include "worker/internal/coldramp.h"
#include "worker/internal/runtable.h"
#include "worker/internal/serveridentity.h"
#include "worker/internal/serverlink.h"
#include "worker/internal/slowness.h"

#include <set>

namespace cyclamenwalk {

/// The session with one instance of the backend server: its running and waiting
/// runs.
class BackendSession {
public:
  struct Hooks {
    /// A run has ended; its resources have been released.
    std::function<void(const Run &)> m_RunEnded;
    /// Resources, queue or state have changed.
    std::function<void()> m_Changed;
    /// By its progress, a run cannot end before its job's deadline.
    std::function<void(const Run &)> m_DeadlineUnreachable;
    /// The latest end of runs that the entry has placed.
    std::function<TimePoint(Incarnation Entry)> m_RunLimit;
    /// Whether runs may be started at all.
    std::function<bool()> m_AllowsStarts;
  };

  /// \p LeaseEndsAt: the latest end of a lease from an earlier session.
  BackendSession(BackendAnnouncement Announcement, WorkerSettings Settings,
                 const WorkerDependencies &Dependencies, TimePoint LeaseEndsAt,
                 Hooks Callbacks);
  ~BackendSession();

  const BackendAnnouncement &announcement() const {
    return m_Identity.announcement();
  }

  /// Takes a further announcement under the name of the instance. One of
  /// another incarnation is no more than a reason to ask the server.
  void receiveAnnouncement(const BackendAnnouncement &Announcement);

  /// The announcement from which the next session can be opened, if any.
  std::optional<BackendAnnouncement> takeSuccessor() {
    return m_Identity.takeSuccessor();
  }

  std::uint64_t token() const { return m_Server.token(); }

  /// The latest end of a lease that the server may hold.
  TimePoint leaseEndsAt() const { return m_Server.leaseEndsAt(); }

  /// Starts nothing for \p Pause, and then one run at a time at first.
  void pauseAfterLosses(Duration Pause);

  /// Whether the server has ended without an announcement.
  bool wasLost() const { return m_WasLost; }

  /// The server accepts no more work.
  void leave();

  void receiveEvidence(const ServerEvidence &Evidence);

  /// Takes over one run of a task. False if an earlier run of it has not ended,
  /// as when a caller sends a job again whose runs are still being stopped.
  bool placeTask(const std::shared_ptr<const PlacedJob> &Job, PlacedTask Task);

  /// Expected queue time of one more run of \p Job.
  Duration forecastWait(const PlacedJob &Job) const;

  /// Stops the runs for which \p Matches returns true.
  void stopRuns(const std::function<bool(const Run &)> &Matches);

  /// Returns the waiting runs to their entries. Returns their number.
  std::size_t returnWaitingRuns();

  /// Lets the lease end by \p EndBy unless the runs for which \p Matches
  /// returns true have ended before. Returns their number.
  std::size_t limitRuns(const std::function<bool(const Run &)> &Matches,
                        TimePoint EndBy);

  /// Whether runs that \p Entry placed here have not ended.
  bool hasRunsOf(Incarnation Entry) const;

  WorkerReport report() const;
  bool isServing() const { return m_Context.m_State == SessionState::Serving; }
  bool isGone() const { return m_Context.m_State == SessionState::Gone; }
  /// Whether one more run may be placed. While the server is probed, no run is
  /// placed that would have to wait.
  bool acceptsMoreRuns() const { return m_Runs.size() < m_Health.runLimit(); }
  bool hasOverdueRuns() const;
  /// The number of runs that have not ended, including those that wait.
  std::size_t runCount() const { return m_Runs.size(); }

private:
  struct Context {
    SessionState m_State = SessionState::Reconciling;
  };
  using SessionChart = BoundChart<Context, SessionState, SessionEvent>;

  SessionChart bindSession(const IChartSource &Charts);
  RunChart bindRun(const IChartSource &Charts);

  void fire(SessionEvent Event);
  /// \p Evidence is logged if the run ends.
  void fireRun(const RunPointer &Target, RunEvent Event,
               std::string_view Evidence);
  void confirmIncarnation(const BackendAnnouncement &Announcement);
  void receiveEvidence(const RunPointer &About, const RunEvidence &Evidence);
  void endWhenDrained();
  void stopAllRuns();
  void markRunsLost();
  void dropWaitingRuns();
  void stopOrphans();

  void updateAvailability(const BackendAnnouncement &Announcement);
  void updateColdRamp(Duration Remaining);
  void moveRunsThatCannotEnd();
  bool fitsRamp(const PlacedJob &Job) const;
  Resources usableFree() const;

  TimePoint limitOf(const Run &Limited) const;
  TimePoint leaseLimit();
  bool mayStart(const Run &Waiting) const;
  void startWaitingRuns();
  Backfill::Choice nextToStart();
  void reportExpectedEnds(WorkerReport &Report, double Slowness) const;
  void sendStart(Run &Started);
  void receiveStartReply(const RunId &Id, std::uint64_t Token,
                         const OrderReply &Reply);
  void sendStop(Run &Stopped);
  void requeueRun(Run &Waiting);
  void finishRun(Run &Ended, RunOutcome Outcome);
  void expireRun(const RunId &Id);

  void requestFirstLists();
  void receiveLists(const ConfirmedReply &Confirmed);
  void updateProgress(const HoldReply &Reply);
  void checkDeadline(Run &Running);
  void stopStalledRuns();
  void processEndedRuns(const HoldReply &Reply);
  void detectMissingRuns(const ConfirmedReply &Confirmed,
                         const std::set<RunId> &Listed);
  void updateHealth(const Run &Ended, RunOutcome Outcome);
  double slowness() const;

  ServerIdentity m_Identity;
  const WorkerSettings m_Settings;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const Hooks m_Hooks;
  const SessionChart m_Chart;
  const RunChart m_RunChart;
  Context m_Context;
  /// Name of the evidence that last had an effect on the session.
  std::string_view m_LastEvidence = "announcement";
  RunTable m_Runs;
  Backfill m_Backfill;
  BackendHealth m_Health;
  ServerLink m_Server;
  /// Whether a run keeps the lease shorter than usual.
  bool m_IsLeaseCut = false;
  /// Jobs whose failure has been counted in m_Health.
  std::set<JobId> m_FailedJobs;
  /// Runs in progress that this agent did not start.
  std::vector<RunId> m_Orphans;
  Slowness m_Slowness;
  ColdRamp m_Ramp;
  /// Whether the ramp limits the use of the server.
  bool m_IsCold = false;
  /// When a leaving server may end, if it has stated it.
  std::optional<TimePoint> m_EndsAt;
  bool m_WasLost = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_BACKENDSESSION_H
