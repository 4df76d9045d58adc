#ifndef CYCLAMENWALK_STANDINS_RUNNER_RUNNERSTANDIN_H
#define CYCLAMENWALK_STANDINS_RUNNER_RUNNERSTANDIN_H

#include "core/types/time.h"
#include "http/httpserver.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cyclamenwalk {

/// A run as seen by the runner that executes it.
struct ObservedRun {
  std::string m_Runner;
  std::string m_Task;
  std::uint32_t m_Run = 0;
  std::string m_Spec;
};

/// Receives the events of runners, on the threads of the runners.
class IRunObserver {
public:
  virtual ~IRunObserver() = default;

  virtual void started(const ObservedRun &Run) = 0;
  /// \p Outcome is "done", "failed", "stopped", "lapsed" (the lease expired) or
  /// "lost" (the runner was destroyed).
  virtual void ended(const ObservedRun &Run, const std::string &Outcome) = 0;
  /// The agent has acknowledged a heartbeat that announces draining.
  virtual void leaving(const std::string &Runner) = 0;
};

/// Counts the starts of all runners of a test, and how often a task was
/// started while a run of it was in progress.
class RunOverlapCounter final : public IRunObserver {
public:
  void started(const ObservedRun &Run) override;
  void ended(const ObservedRun &Run, const std::string &Outcome) override;
  void leaving(const std::string &) override {}
  int overlaps() const;
  int starts() const;

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, int> m_RunningCounts;
  int m_Overlaps = 0;
  int m_Starts = 0;
};

struct RunnerOptions {
  std::string m_Id;
  std::string m_Listen;
  /// Address of the agent that receives the heartbeats.
  std::string m_Agent;
  std::string m_Service = "gatepost";
  /// Address in the heartbeats; m_Listen if empty.
  std::string m_AnnouncedAddress;
  /// Speed of the runner's clock relative to the steady clock.
  double m_ClockRate = 1;
  /// Called once the runner has ended after leave() and its port is closed.
  std::function<void()> m_HandleEnd = [] {};
};

/// How a runner leaves.
struct RunnerDeparture {
  /// Between the acknowledgement of "draining" and the deregistration.
  Duration m_DrainTime = milliseconds(2000);
  /// Whether the runner gets no answer to its deregistration.
  bool m_LosesAnswer = false;
  /// How long the runner stays up without an answer.
  Duration m_ExtraTime = milliseconds(3000);
};

/// Faults injected into a runner.
struct RunnerFault {
  /// Ratio of runs that fail at their end.
  double m_FailureRatio = 0;
  /// Ratio of start and hold calls that are delayed by m_Delay: a start before
  /// it is executed, a hold before it is answered.
  double m_DelayRatio = 0;
  Duration m_Delay{};
  /// Runs make no progress and never finish.
  bool m_IsHanging = false;
};

/// A runner that implements the platform's protocol: it starts the runs that it
/// is sent, under a lease and a fencing token. The spec of a task is its run
/// time in milliseconds.
class RunnerStandin {
public:
  RunnerStandin(RunnerOptions Options, IRunObserver &Observer);
  ~RunnerStandin();

  /// Replaces the current fault; \p Seed determines which runs and calls are
  /// affected.
  void setFault(const RunnerFault &Fault, std::uint32_t Seed);

  /// Announces the state "draining", deregisters later, and ends: all runs
  /// terminate and the port is closed.
  void leave(const RunnerDeparture &Departure = {});

  /// Loses all runs without notice. Calls in progress and later ones do
  /// nothing.
  void crash();

  /// Announced capacity.
  static constexpr std::int64_t MilliCores = 16000;
  static constexpr std::int64_t MemoryMb = 32768;

private:
  struct Run {
    std::string m_Spec;
    TimePoint m_StartedAt;
    TimePoint m_EndsAt;
    /// When a stop takes effect.
    TimePoint m_StopsAt = TimePoint::max();
  };
  /// The name of a task and the number of the run.
  using RunKey = std::pair<std::string, std::uint32_t>;
  struct RunEnd {
    std::uint64_t m_Sequence = 0;
    RunKey m_Run;
    std::string m_Outcome;
  };

  HttpResponse handleStart(const HttpRequest &Request);
  HttpResponse handleStop(const HttpRequest &Request);
  HttpResponse handleHold(const HttpRequest &Request);
  nlohmann::json listRunning() const;
  nlohmann::json listFinished() const;
  HttpResponse respond(int Status, const std::string &Reason = {}) const;
  bool acceptFencingToken(const HttpRequest &Request);
  /// Whether \p Request names another incarnation of the runner.
  bool isMisdirected(const HttpRequest &Request) const;
  void extendLease(Duration ExpiresAtClock);
  Duration clock() const;
  void finish(const RunKey &Key, const char *Outcome);
  void runTimer();
  void finishDueRuns(TimePoint Now);
  void sendHeartbeats();
  bool sendHeartbeat(std::unique_lock<std::mutex> &Lock);
  HttpRequest makeHeartbeat();
  void deregister(std::unique_lock<std::mutex> &Lock);
  void end(std::unique_lock<std::mutex> &Lock);
  void loseRuns();
  bool drawFault(double Ratio);
  ObservedRun makeObservedRun(const RunKey &Key, const Run &Current) const;

  const RunnerOptions m_Options;
  IRunObserver &m_Observer;
  /// Origin of "clock-ms" and of the lease deadlines.
  const TimePoint m_ClockOrigin = Clock::now();
  /// The same instant since the Unix epoch, which identifies the instance.
  const Duration m_StartedAt =
      std::chrono::system_clock::now().time_since_epoch();
  std::mutex m_Mutex;
  std::condition_variable m_StateChanged;
  bool m_IsShuttingDown = false;
  bool m_IsDraining = false;
  RunnerDeparture m_Departure;
  RunnerFault m_Fault;
  std::minstd_rand m_RandomEngine;
  std::uint64_t m_HighestToken = 0;
  /// On the runner's clock.
  Duration m_LeaseExpiresAt{};
  std::uint64_t m_HeartbeatSequence = 0;
  std::uint64_t m_LastEndSequence = 0;
  std::map<RunKey, Run> m_ActiveRuns;
  /// The highest run of each task that was stopped or has ended; runs up to it
  /// are refused.
  std::map<std::string, std::uint32_t> m_LastRunNumbers;
  /// Reported on each hold call until its "last-seen" covers them.
  std::vector<RunEnd> m_UnacknowledgedEnds;
  HttpServer m_Server;
  std::thread m_TimerThread;
  std::thread m_HeartbeatThread;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_RUNNER_RUNNERSTANDIN_H
