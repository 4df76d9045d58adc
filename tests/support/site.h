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

/// What a test asks of a job.
struct JobOrderForm {
  std::size_t m_Tasks = 1;
  Duration m_RunTime = milliseconds(20);
  Duration m_Deadline = seconds(10);
  std::string m_Kind = "candle";
  std::string m_Team = "vending";
  /// Names the request for the checker; empty when it may run again.
  std::string m_Reference;
  std::string m_IdempotencyKey;
  std::string m_Ticket;
};

/// How a site is made up.
struct SiteForm {
  int m_Entries = 1;
  int m_Agents = 1;
  std::uint32_t m_Slots = 4;
  /// Slots that backend servers announce; zero for those they have.
  std::uint32_t m_AnnouncedSlots = 0;
  /// More lines for the settings of each entry.
  std::string m_EntrySettings;
  std::string m_Configuration;
};

/// What \p Response tells the caller of a job with that many tasks.
CallerAnswer readCallerAnswer(const HttpResponse &Response, std::size_t Tasks);

/// Real processes on loopback: a platform stand-in, entries, and agents with
/// their backend stand-ins. Collects what callers are told, for the checker.
class Site {
public:
  /// Ports are taken from \p BasePort on. Entries and agents are started and
  /// a configuration is in force when the constructor returns.
  Site(int BasePort, SiteForm Form);
  Site(int BasePort, int Entries, int Agents, std::uint32_t Slots = 4);
  ~Site();

  void startEntry(int Index);
  void startAgent(int Index);
  void startBackend(int Index,
                    const std::vector<std::string> &MoreOptions = {});

  ChildProcess &entry(int Index) {
    return *m_Processes.at(name("entry", Index));
  }
  ChildProcess &agent(int Index) {
    return *m_Processes.at(name("agent", Index));
  }
  ChildProcess &backend(int Index) {
    return *m_Processes.at(name("backend", Index));
  }

  /// The platform's fault: none, down, slow or reply_lost.
  void setPlatformFault(const std::string &Mode) const;

  HttpResponse call(int Entry, const std::string &Method,
                    const std::string &Path,
                    const std::string &Body = "") const;

  /// Submits a job, waits for the answer and records it.
  CallerAnswer submit(int Entry, const JobOrderForm &Form);

  /// Submits jobs one after the other on a thread of its own until stopLoad().
  void startLoad(int Entry, const JobOrderForm &Form);
  void stopLoad();

  HttpResponse apply(int Entry, const std::string &Text,
                     const std::string &ApplyId, std::uint64_t Base) const;
  std::uint64_t version(int Entry) const;
  std::string ticket(int Entry) const;

  /// Whether the entry is linked to that many backend servers.
  bool hasWorkers(int Entry, std::size_t Count) const;

  /// Whether the entry knows every other one.
  bool knowsAllEntries(int Entry) const;

  /// Waits until \p Holds; false when it does not within 30 s.
  static bool waitFor(const std::function<bool()> &Holds);

  BackendLog log() const;
  std::vector<CallerAnswer> answers() const;
  std::vector<std::string> violations() const;

  std::string messageAddress(int Entry) const { return address(20 + Entry); }
  std::string httpAddress(int Entry) const { return address(Entry); }
  std::string agentHttpAddress(int Agent) const { return address(40 + Agent); }
  std::string logText(const std::string &Process) const;

  static const char *const Configuration;

private:
  static std::string name(const std::string &Kind, int Index);

  std::string address(int Offset) const;
  std::string path(const std::string &File) const;
  std::string writeSettings(const std::string &Name, const std::string &Text);
  void start(const std::string &Name, const std::vector<std::string> &Command);
  CallerAnswer submitUnrecorded(int Entry, const JobOrderForm &Form) const;

  const int m_BasePort;
  const SiteForm m_Form;
  std::string m_Folder;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_Processes;
  mutable std::mutex m_Mutex;
  std::vector<CallerAnswer> m_Answers;
  std::vector<std::thread> m_Load;
  bool m_IsLoading = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SUPPORT_SITE_H
