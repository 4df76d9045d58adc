#ifndef CYCLAMENWALK_STANDINS_RUNNER_RUNNERSTANDIN_H
#define CYCLAMENWALK_STANDINS_RUNNER_RUNNERSTANDIN_H

#include "core/types/time.h"
#include "http/httpserver.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenwalk {

/// A run as its runner knows it.
struct ObservedRun {
  std::string m_Runner;
  std::string m_Task;
  std::uint32_t m_Run = 0;
  std::string m_Spec;
};

/// Told of what happens at runners, from their threads.
class IRunObserver {
public:
  virtual ~IRunObserver() = default;

  virtual void started(const ObservedRun &Run) = 0;
  /// \p How is the runner's word for the end; "lost" when it ended itself.
  virtual void ended(const ObservedRun &Run, const std::string &How) = 0;
  /// The runner says that it leaves, and its agent has acknowledged that.
  virtual void leaving(const std::string &Runner) = 0;
};

/// Sees the runs of all runners of a test, and whether a task ever ran twice
/// at the same time.
class RunWatch final : public IRunObserver {
public:
  void started(const ObservedRun &Run) override;
  void ended(const ObservedRun &Run, const std::string &How) override;
  void leaving(const std::string &) override {}
  int overlaps() const;
  int starts() const;

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, int> m_Running;
  int m_Overlaps = 0;
  int m_Starts = 0;
};

struct RunnerForm {
  std::string m_Id;
  std::string m_Listen;
  /// Where it sends its heartbeats.
  std::string m_Agent;
  std::string m_Service = "gatepost";
  /// The address that it announces; empty for m_Listen.
  std::string m_Announced;
};

/// What is wrong with a runner.
struct RunnerFault {
  /// Share of its runs that fail at their end.
  double m_FailShare = 0;
  /// Share of orders that are not answered and carried out m_Late afterwards.
  double m_LateShare = 0;
  Duration m_Late{};
  /// Runs stand still.
  bool m_IsHanging = false;
};

/// A backend server as the platform's pages describe it: it starts what it is
/// told, under a lease and a fencing token. The spec of a task is its run time
/// in milliseconds.
class RunnerStandin {
public:
  RunnerStandin(RunnerForm Form, IRunObserver &Watch);
  ~RunnerStandin();

  /// Which runs and orders are hit is drawn from \p Seed.
  void setFault(const RunnerFault &Fault, std::uint32_t Seed);

  /// From now on it announces that it leaves.
  void leave();

  static constexpr std::int64_t MilliCores = 16000;

private:
  struct Run {
    std::uint32_t m_Number = 0;
    std::string m_Spec;
    TimePoint m_StartedAt;
    TimePoint m_EndsAt;
  };
  struct End {
    std::uint64_t m_Number = 0;
    std::string m_Task;
    std::uint32_t m_Run = 0;
    std::string m_RunOutcome;
  };

  HttpResponse start(const HttpRequest &Request);
  HttpResponse stop(const HttpRequest &Request);
  HttpResponse hold(const HttpRequest &Request);
  bool takeToken(std::uint64_t Token);
  void extendLease(std::int64_t UntilClock);
  std::int64_t clock() const;
  void finish(const std::string &Task, const char *How);
  void runTimes();
  void endDue(TimePoint Now);
  void beat();
  bool isHit(double Share);
  ObservedRun observed(const std::string &Task, const Run &Known) const;

  const RunnerForm m_Form;
  IRunObserver &m_Watch;
  const TimePoint m_InstanceStartedAt = Clock::now();
  /// The same as milliseconds of the time of day.
  const std::int64_t m_Born =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_IsEnding = false;
  bool m_IsLeaving = false;
  RunnerFault m_Fault;
  std::minstd_rand m_Random;
  std::uint64_t m_Token = 0;
  TimePoint m_LeaseUntil;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_LastEndNumber = 0;
  std::map<std::string, Run> m_Running;
  std::map<std::string, std::uint32_t> m_Highest;
  std::vector<End> m_Ended;
  HttpServer m_Server;
  std::thread m_Timer;
  std::thread m_Heartbeats;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_RUNNER_RUNNERSTANDIN_H
