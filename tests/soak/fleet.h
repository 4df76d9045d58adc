#ifndef CYCLAMENWALK_TESTS_SOAK_FLEET_H
#define CYCLAMENWALK_TESTS_SOAK_FLEET_H

#include "core/types/time.h"
#include "runner/runnerstandin.h"
#include "soak/faultproxy.h"
#include "support/childprocess.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenwalk {

struct FleetOptions {
  int m_EntryCount = 3;
  int m_AgentCount = 6;
  /// First of a range of 2,000 ports on loopback.
  int m_BasePort = 10000;
  /// The last of the entries, which are too small to place jobs while another
  /// one can.
  int m_SmallEntryCount = 1;
};

/// What another writer may send under the id of a runner in use; all but the
/// first name no runner to use.
enum class ForeignHeartbeat {
  LaterBorn,
  UnknownService,
  UnknownState,
  MissingFields,
  WrongTypes,
  Unreadable
};

/// Learns of the start orders whose answers were lost or that came late.
using OrderObserver = std::function<void(const ObservedRun &, CallFate)>;

/// The programs of the platform and a store as separate processes, with runners
/// in this process. Every connection between them goes through a FaultProxy.
class Fleet {
public:
  Fleet(FleetOptions Options, IRunObserver &Observer,
        OrderObserver ObserveOrder);
  ~Fleet();

  const FleetOptions &options() const { return m_Options; }

  /// Process names; processes are called entry-N, agent-N and store.
  std::vector<std::string> entries() const;
  std::vector<std::string> agents() const;

  void start(const std::string &Process);
  void signal(const std::string &Process, int Number);
  /// Sends SIGKILL and waits for the exit.
  void kill(const std::string &Process);
  /// See ChildProcess::wait().
  int wait(const std::string &Process, Duration Timeout);

  /// Ends a runner without notice to its agent; connections to its port are
  /// refused, or accepted and reset.
  void crashRunner(int Index, bool IsPortClosed);
  /// Starts a new runner with the same id; ends the earlier one if it is up.
  void restartRunner(int Index);
  RunnerStandin &runner(int Index) { return *m_Runners.at(Index); }
  void sendForeignHeartbeat(int Agent, ForeignHeartbeat Variant) const;

  /// The proxies in front of the ports of a process.
  std::vector<FaultProxy *> proxiesOf(const std::string &Process);

  /// The address for calls to an entry, through its proxy or without it.
  std::string callAddress(int Entry) const;
  std::string directAddress(int Entry) const;
  bool isReady(int Entry) const;
  /// The ports of an entry or an agent for calls and for messages, without the
  /// proxies.
  int callPort(const std::string &Process) const;
  int messagePort(const std::string &Process) const;

  /// Writes a configuration into the store; false when the store refuses it.
  bool writeConfiguration(std::uint64_t Version) const;
  void setStoreFault(const std::string &Mode) const;

  /// Waits until all entries are ready; false when \p Timeout expires first.
  bool waitUntilReady(Duration Timeout) const;

  /// The folder with the log file of each process.
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
  FaultProxy &addProxy(const std::string &Process, Port Listen, Port Target,
                       int Index = 0, CallObserver Observer = {});
  CallObserver observeOrdersOf(int Runner);
  std::string formatSettings(const std::string &Process) const;
  void startRunner(int Index);

  const FleetOptions m_Options;
  IRunObserver &m_Observer;
  OrderObserver m_ObserveOrder;
  std::string m_Folder;
  std::map<std::string, std::vector<std::unique_ptr<FaultProxy>>> m_Proxies;
  std::map<std::string, std::unique_ptr<ChildProcess>> m_Processes;
  std::vector<FaultProxy *> m_RunnerProxies;
  std::vector<std::unique_ptr<RunnerStandin>> m_Runners;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_FLEET_H
