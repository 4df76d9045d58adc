#ifndef CYCLAMENWALK_STANDINS_RUNNER_RUNNERSTANDIN_H
#define CYCLAMENWALK_STANDINS_RUNNER_RUNNERSTANDIN_H

#include "core/types/time.h"
#include "http/httpserver.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenwalk {

/// Sees the runs of all runners of a test, and whether a task ever ran twice
/// at the same time.
class RunWatch {
public:
  void begin(const std::string &Task);
  void end(const std::string &Task);
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
};

/// A backend server as the platform's pages describe it: it starts what it is
/// told, under a lease and a fencing token. The spec of a task is its run time
/// in milliseconds.
class RunnerStandin {
public:
  RunnerStandin(RunnerForm Form, RunWatch &Watch);
  ~RunnerStandin();

private:
  struct Run {
    std::uint32_t m_Number = 0;
    TimePoint m_StartedAt;
    TimePoint m_EndsAt;
  };
  struct End {
    std::uint64_t m_Number = 0;
    std::string m_Task;
    std::uint32_t m_Run = 0;
    std::string m_How;
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

  const RunnerForm m_Form;
  RunWatch &m_Watch;
  const TimePoint m_BornAt = Clock::now();
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_IsEnding = false;
  std::uint64_t m_Token = 0;
  TimePoint m_LeaseUntil;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_LastEnd = 0;
  std::map<std::string, Run> m_Running;
  std::map<std::string, std::uint32_t> m_Highest;
  std::vector<End> m_Ended;
  HttpServer m_Server;
  std::thread m_Timer;
  std::thread m_Heartbeats;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_RUNNER_RUNNERSTANDIN_H
