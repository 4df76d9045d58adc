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
  std::string m_Listen;
  std::string m_Agent;
  std::string m_Service;
  std::uint32_t m_Slots = 8;
  /// Slots that it announces; more than it has make its own queue.
  std::uint32_t m_AnnouncedSlots = 8;
  /// Run time of a task whose payload states none.
  Duration m_RunTime = milliseconds(50);
  /// Share of tasks that fail, percent.
  std::uint32_t m_FailPercent = 0;
  /// Takes tasks and never answers.
  bool m_IsSilent = false;
  std::string m_LogFile;
};

/// A backend server whose run time, failures and silence can be set. A payload
/// {"run_ms": 20, "fail": true} goes before the options.
class BackendStandin {
public:
  BackendStandin(const BackendOptions &Options, HttpServer &Server);

  /// Announces itself to the agent; called every second.
  void announce();

  /// Tells the agent that it takes no new tasks.
  void leave();

  /// Ends waiting tasks, so that the process can stop.
  void shutDown();

private:
  struct Work {
    std::string m_Task;
    /// What the caller calls its request, from the payload.
    std::string m_Reference = "-";
    std::string m_Payload;
    Duration m_RunTime{};
    bool m_Fails = false;
  };

  HttpResponse execute(const HttpRequest &Request);
  HttpResponse stop(const HttpRequest &Request);
  Work readWork(const std::string &Body);
  bool failsByChance();
  void takeSlot();
  void leaveSlot();
  bool waitFor(const Work &Running);

  const BackendOptions m_Options;
  const std::string m_Run;
  RunLog m_Log;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::set<std::string> m_Stopped;
  /// Tickets of the queue: the slots go out in the order of arrival.
  std::uint64_t m_NextTicket = 0;
  std::uint64_t m_Served = 0;
  bool m_IsShutDown = false;
  std::mt19937 m_Random{1};
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_BACKEND_BACKENDSTANDIN_H
