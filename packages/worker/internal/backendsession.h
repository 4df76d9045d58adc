#ifndef CYCLAMENWALK_WORKER_INTERNAL_BACKENDSESSION_H
#define CYCLAMENWALK_WORKER_INTERNAL_BACKENDSESSION_H

#include "worker/internal/backendcondition.h"
#include "worker/internal/runledger.h"
#include "worker/workermodule.h"

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

/// The control of one life of the backend server: its lease, its fencing
/// token, and what runs and waits there.
class BackendSession {
public:
  struct Hooks {
    /// A run has ended; what it occupied is free.
    std::function<void(const Run &)> m_Ended;
    /// Room, queue or state have changed.
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

  /// Stops the runs for which \p IsMeant holds.
  void stopRuns(const std::function<bool(const Run &)> &IsMeant);

  WorkerReport report() const;
  bool isServing() const { return m_Context.m_State == SessionState::Serving; }
  bool isGone() const { return m_Context.m_State == SessionState::Gone; }
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
  void finish(Run &Ended, RunEnd How);
  void expire(const RunName &Name);

  void hold(bool IsFence);
  void receiveHold(const HoldOrder &Sent, TimePoint SentAt, bool IsFence,
                   const HoldReply &Reply);
  void receiveNoHold(bool IsFence, const HoldReply &Reply);
  void takeLists(const HoldOrder &Sent, TimePoint SentAt, bool IsFence,
                 const HoldReply &Reply);
  void takeProgress(const HoldReply &Reply);
  void checkHopeless(Run &Known);
  bool isStalled(const Run &Known) const;
  void stopStalled();
  void takeEnds(const HoldReply &Reply);
  void takeMissing(const HoldOrder &Sent, TimePoint SentAt, bool IsFence,
                   const std::set<RunName> &Listed);
  void fence(const Run &Doubtful);
  void judge(const Run &Ended, RunEnd How);
  void learnSlowness(const Run &Ended, Duration RunTime);
  double slowness() const;

  OrderTarget target() const;
  void noteClock(Duration ServerClock);
  Duration leaseUntil();

  BackendAnnouncement m_Said;
  const WorkerSettings m_Settings;
  IBackendControl &m_Control;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const Hooks m_Hooks;
  const SessionChart m_Chart;
  const RunChart m_RunChart;
  Context m_Context;
  RunLedger m_Ledger;
  BackendCondition m_Condition;
  /// The jobs of which a run has failed here, each judged once.
  std::set<JobId> m_FailedJobs;
  std::uint64_t m_Token = 0;
  std::uint64_t m_TokenJump = 1;
  /// The token that a hold under way is to confirm; zero for none.
  std::uint64_t m_FencePending = 0;
  std::uint64_t m_LastEnd = 0;
  /// The server's clock at an instant of ours.
  Duration m_ServerClock{};
  TimePoint m_ServerClockAt;
  /// When the last order that renews the lease was sent.
  TimePoint m_LeaseSentAt;
  std::uint32_t m_Unanswered = 0;
  std::vector<RunName> m_Strangers;
  TimerId m_LookTimer = 0;
  /// Running mean of run times against their estimates.
  double m_Slowness = 1;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_BACKENDSESSION_H
