#ifndef CYCLAMENWALK_WORKER_INTERNAL_BACKENDSESSION_H
#define CYCLAMENWALK_WORKER_INTERNAL_BACKENDSESSION_H

#include "worker/internal/backendcondition.h"
#include "worker/internal/runledger.h"
#include "worker/internal/serverlink.h"

#include <set>

namespace cyclamenwalk {

enum class SessionState { Looking, Serving, Leaving, Gone };
enum class SessionEvent { Empty, Occupied, Leave, Lost };

template <> struct ChartNames<SessionState> {
  static constexpr std::array<std::string_view, 4> Values{"looking", "serving",
                                                          "leaving", "gone"};
};
template <> struct ChartNames<SessionEvent> {
  static constexpr std::array<std::string_view, 4> Values{"empty", "occupied",
                                                          "leave", "lost"};
};

/// One life of the backend server: what runs and waits there.
class BackendSession {
public:
  struct Hooks {
    /// A run has ended; what it occupied is free.
    std::function<void(const Run &)> m_Ended;
    /// Resources, queue or state have changed.
    std::function<void()> m_Changed;
    /// A run cannot end before its job's deadline.
    std::function<void(const Run &)> m_Hopeless;
  };

  BackendSession(BackendAnnouncement Said, WorkerSettings Settings,
                 const WorkerDependencies &Needs, Hooks Calls);
  ~BackendSession();

  const BackendAnnouncement &said() const { return m_Said; }

  /// The same life announces itself again.
  void renew(const BackendAnnouncement &Said);

  /// The server takes no more work.
  void leave();

  /// The server is known to be gone, and all runs with it.
  void lose(const std::string &Reason);

  void place(const std::shared_ptr<const PlacedJob> &Job, PlacedTask Task);

  /// Expected wait of one more run of \p Job.
  Duration forecastWait(const PlacedJob &Job) const;

  /// Stops the runs for which \p IsMeant holds.
  void stopRuns(const std::function<bool(const Run &)> &IsMeant);

  WorkerReport report() const;
  bool isServing() const { return m_Context.m_State == SessionState::Serving; }
  bool isGone() const { return m_Context.m_State == SessionState::Gone; }
  /// Whether one more run may be placed. A server that is tried takes no more
  /// than it may start at once.
  bool takesMore() const { return m_Ledger.size() < m_Condition.limit(); }
  bool hasOverdue() const;
  std::size_t running() const { return m_Ledger.size(); }

private:
  struct Context {
    SessionState m_State = SessionState::Looking;
  };
  using SessionChart = BoundChart<Context, SessionState, SessionEvent>;

  SessionChart bindSession(const IChartSource &Charts);
  RunChart bindRun(const IChartSource &Charts);

  void fire(SessionEvent What);
  void fireRun(const RunPointer &Known, RunEvent What);
  void loseRuns();
  void dropWaiting();
  void endStrangers();

  void startWaiting();
  void sendStart(Run &Started);
  void receiveStarted(const RunName &Name, std::uint64_t Token,
                      const OrderReply &Reply);
  void sendStop(Run &Stopped);
  void queueAgain(Run &Waiting);
  void finish(Run &Ended, RunOutcome How);
  void expire(const RunName &Name);

  void takeLists(const ListsReceived &Lists);
  void takeProgress(const HoldReply &Reply);
  void checkHopeless(Run &Known);
  bool isStalled(const Run &Known) const;
  void stopStalled();
  void takeEnds(const HoldReply &Reply);
  void takeMissing(const ListsReceived &Lists, const std::set<RunName> &Listed);
  void judge(const Run &Ended, RunOutcome How);
  void learnSlowness(const Run &Ended, Duration RunTime);
  double slowness() const;

  BackendAnnouncement m_Said;
  const WorkerSettings m_Settings;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const Hooks m_Hooks;
  const SessionChart m_Chart;
  const RunChart m_RunChart;
  Context m_Context;
  RunLedger m_Ledger;
  BackendCondition m_Condition;
  ServerLink m_Server;
  /// The jobs of which a run has failed here, each judged once.
  std::set<JobId> m_FailedJobs;
  std::vector<RunName> m_Strangers;
  /// Running mean of run times against their estimates.
  double m_Slowness = 1;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_BACKENDSESSION_H
