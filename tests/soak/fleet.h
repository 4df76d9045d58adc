#ifndef CYCLAMENWALK_TESTS_SOAK_FLEET_H
#define CYCLAMENWALK_TESTS_SOAK_FLEET_H

#include "core/types/time.h"
#include "runner/runnerstandin.h"
#include "soak/faultproxy.h"
#include "support/childprocess.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenwalk {

struct FleetForm {
  int m_Entries = 3;
  int m_Agents = 6;
  /// First of a range of 2,000 ports on loopback.
  int m_BasePort = 10000;
};

/// The programs of the platform as separate processes, a store, and runners
/// inside this process. Every connection between two of them passes a proxy.
class Fleet {
public:
  Fleet(FleetForm Form, IRunObserver &Watch);
  ~Fleet();

  const FleetForm &form() const { return m_Form; }

  /// Processes are named entry-N, agent-N and store.
  std::vector<std::string> entries() const;
  std::vector<std::string> agents() const;

  void start(const std::string &Process);
  void signal(const std::string &Process, int Number);
  /// Kills the process and waits until it is gone.
  void kill(const std::string &Process);
  /// As ChildProcess::wait().
  int wait(const std::string &Process, Duration Limit);

  /// A runner ends without a word and starts anew under the same name.
  void restartRunner(int Index);
  RunnerStandin &runner(int Index) { return *m_Runners.at(Index); }

  /// The proxies before what a process listens on, and before the store.
  std::vector<FaultProxy *> proxiesOf(const std::string &Process);

  /// Where callers reach an entry, through its proxy or past it.
  std::string callAddress(int Entry) const;
  std::string directAddress(int Entry) const;
  bool isReady(int Entry) const;

  /// Puts a configuration into the store; false when the store did not take
  /// it.
  bool writeConfiguration(std::uint64_t Version) const;
  void setStoreFault(const std::string &Mode) const;

  /// Waits until all entries are ready; false when that takes too long.
  bool waitUntilReady(Duration Limit) const;

  /// The last lines that a process has logged.
  std::string logFolder() const { return m_Folder; }

private:
  enum class Port : int {
    Store = 0,
    StoreProxy = 1,
    EntryCalls = 10,
    EntryCallsProxy = 30,
    EntryReadiness = 50,
    EntryMessages = 70,
    EntryMessagesProxy = 90,
    EntryMetrics = 110,
    AgentCalls = 200,
    AgentMessages = 400,
    AgentMessagesProxy = 600,
    AgentMetrics = 800,
    Runner = 1000,
    RunnerProxy = 1200
  };

  std::string address(Port Kind, int Index = 0) const;
  void addProxy(const std::string &Process, Port Listen, Port Target,
                int Index = 0);
  std::string settings(const std::string &Process) const;
  void startRunner(int Index);

  const FleetForm m_Form;
  IRunObserver &m_Watch;
  std::string m_Folder;
  std::map<std::string, std::vector<std::unique_ptr<FaultProxy>>> m_Proxies;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_Processes;
  std::vector<std::unique_ptr<RunnerStandin>> m_Runners;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_FLEET_H
