#ifndef CYCLAMENWALK_STANDINS_BACKEND_BACKENDSTANDIN_H
#define CYCLAMENWALK_STANDINS_BACKEND_BACKENDSTANDIN_H

#include "backend/runlog.h"
#include "core/types/time.h"
#include "http/httpserver.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace cyclamenwalk {

struct BackendOptions {
  std::string m_ListenAddress;
  std::string m_AgentAddress;
  std::string m_Service;
  std::uint32_t m_Slots = 8;
  /// Announced number of slots; tasks in excess of m_Slots are queued here.
  std::uint32_t m_AnnouncedSlots = 8;
  /// Run time of a task whose payload has no "run_ms".
  Duration m_RunTime = milliseconds(50);
  /// Percentage of tasks that fail.
  std::uint32_t m_FailurePercent = 0;
  /// Accepts tasks but never answers them.
  bool m_IsSilent = false;
  std::string m_LogFile;
};

/// A backend server with configurable run time, failures and unresponsiveness.
/// A payload such as {"run_ms": 20, "fail": true} overrides the options.
class BackendStandin {
public:
  BackendStandin(const BackendOptions &Options, HttpServer &Server);

  /// Announces the service and its resources to the agent; called every second.
  void announce();

  /// Tells the agent that no new tasks are accepted.
  void leave();

  /// Ends queued and running tasks so that the process can exit.
  void shutDown();

private:
  struct Task {
    std::string m_Id;
    /// The caller's reference for its request, from the payload.
    std::string m_Reference = "-";
    std::string m_Payload;
    Duration m_RunTime{};
    bool m_MustFail = false;
  };

  HttpResponse execute(const HttpRequest &Request);
  HttpResponse stop(const HttpRequest &Request);
  Task parseTask(const std::string &Body);
  bool drawFailure();
  void acquireSlot();
  void releaseSlot();
  bool simulateRun(const Task &Current);

  const BackendOptions m_Options;
  const std::string m_Incarnation;
  RunLog m_Log;
  std::mutex m_Mutex;
  std::condition_variable m_StateChanged;
  std::set<std::string> m_StoppedTasks;
  /// Queue ticket of the next task; slots are assigned in order of arrival.
  std::uint64_t m_NextTicket = 0;
  std::uint64_t m_FinishedTasks = 0;
  bool m_IsShuttingDown = false;
  std::mt19937 m_RandomEngine{1};
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_BACKEND_BACKENDSTANDIN_H
