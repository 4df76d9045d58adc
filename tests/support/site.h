#ifndef CYCLAMENWALK_TESTS_SUPPORT_SITE_H
#define CYCLAMENWALK_TESTS_SUPPORT_SITE_H

#include "http/types/httpmessage.h"
#include "support/checker.h"
#include "support/childprocess.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenwalk {

struct JobOptions {
  std::size_t m_Tasks = 1;
  Duration m_RunTime = milliseconds(20);
  Duration m_Deadline = seconds(10);
  std::string m_Kind = "candle";
  std::string m_Team = "vending";
  /// Identifies the request to the checker; empty when it may run twice.
  std::string m_Reference;
  std::string m_IdempotencyKey;
  std::string m_Ticket;
};

struct SiteOptions {
  int m_Entries = 1;
  int m_Agents = 1;
  std::uint32_t m_Slots = 4;
  /// Slots that each backend server announces; zero for m_Slots.
  std::uint32_t m_AnnouncedSlots = 0;
  /// Appended to the settings file of each entry.
  std::string m_EntrySettings;
  std::string m_Configuration;
};

/// Decodes the response to a job with \p Tasks tasks.
CallerAnswer readCallerAnswer(const HttpResponse &Response, std::size_t Tasks);

/// Runs entries, agents, and stand-ins for the platform and the backend servers
/// as processes on loopback. Records the answers to all jobs for the checker.
class Site {
public:
  /// Uses the ports from \p BasePort on. Returns once all processes run and the
  /// configuration is in force.
  Site(int BasePort, SiteOptions Options);
  Site(int BasePort, int Entries, int Agents, std::uint32_t Slots = 4);
  ~Site();

  void startEntry(int Index);
  void startAgent(int Index);
  void startBackend(int Index,
                    const std::vector<std::string> &ExtraOptions = {});

  ChildProcess &entry(int Index) {
    return *m_Processes.at(processName("entry", Index));
  }
  ChildProcess &agent(int Index) {
    return *m_Processes.at(processName("agent", Index));
  }
  ChildProcess &backend(int Index) {
    return *m_Processes.at(processName("backend", Index));
  }

  /// \p Mode is none, down, slow or reply_lost.
  void setPlatformFault(const std::string &Mode) const;

  HttpResponse call(int Entry, const std::string &Method,
                    const std::string &Path,
                    const std::string &Body = "") const;

  /// Submits a job, waits for its answer and records it for the checker.
  CallerAnswer submit(int Entry, const JobOptions &Options);

  /// Submits one job after the other from a new thread until stopLoad().
  void startLoad(int Entry, const JobOptions &Options);
  void stopLoad();

  HttpResponse applyConfiguration(int Entry, const std::string &Text,
                                  const std::string &ApplyId,
                                  std::uint64_t BaseVersion) const;
  std::uint64_t configurationVersion(int Entry) const;
  std::string createTicket(int Entry) const;

  /// Whether exactly \p Count backend servers have slots at the entry.
  bool hasWorkers(int Entry, std::size_t Count) const;

  bool hasAllEntries(int Entry) const;

  /// Waits until \p Condition is true; false when it is not within 30 s.
  static bool waitFor(const std::function<bool()> &Condition);

  BackendLog log() const;
  std::vector<CallerAnswer> answers() const;
  std::vector<std::string> violations() const;

  std::string messageAddress(int Entry) const { return address(20 + Entry); }
  std::string httpAddress(int Entry) const { return address(Entry); }
  std::string agentHttpAddress(int Agent) const { return address(40 + Agent); }
  std::string readLog(const std::string &Process) const;

  static const char *const Configuration;

private:
  static std::string processName(const std::string &Kind, int Index);

  std::string address(int Offset) const;
  std::string path(const std::string &File) const;
  std::string writeSettings(const std::string &Name, const std::string &Text);
  void start(const std::string &Name, const std::vector<std::string> &Command);
  CallerAnswer sendJob(int Entry, const JobOptions &Options) const;

  const int m_BasePort;
  const SiteOptions m_Options;
  std::string m_Folder;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_Processes;
  mutable std::mutex m_Mutex;
  std::vector<CallerAnswer> m_Answers;
  std::vector<std::thread> m_LoadThreads;
  bool m_IsLoadRunning = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SUPPORT_SITE_H
