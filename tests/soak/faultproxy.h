#ifndef CYCLAMENWALK_TESTS_SOAK_FAULTPROXY_H
#define CYCLAMENWALK_TESTS_SOAK_FAULTPROXY_H

#include "core/types/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cyclamenwalk {

/// How a proxy disturbs the traffic through it.
struct ProxyFault {
  /// Added to the latency of each direction.
  Duration m_Delay{};
  /// A blocked direction carries no bytes until the fault ends. No connection
  /// is accepted while either direction is blocked.
  bool m_BlocksToServer = false;
  bool m_BlocksToClient = false;
  /// Ratio of calls whose answer is lost: the server carries the call out, and
  /// the connection ends before the first byte of the answer.
  double m_LossRatio = 0;
  /// Whether such a connection is closed in order and not reset.
  bool m_ClosesInOrder = false;
  /// After each lost answer new connections are refused for this time.
  Duration m_RefusalTime{};
  /// Ratio of calls that the server gets m_LateDelay later, on a connection of
  /// their own and without an answer.
  double m_LateRatio = 0;
  Duration m_LateDelay{};
};

enum class CallFate { AnswerLost, Late };

/// The text of an HTTP request and what became of it; called on the proxy's
/// thread.
using CallObserver = std::function<void(const std::string &, CallFate)>;

/// A TCP proxy on loopback that delays, blocks and resets connections.
class FaultProxy {
public:
  FaultProxy(const std::string &Listen, const std::string &Target,
             CallObserver Observer = {});
  ~FaultProxy();

  /// \p Seed determines which calls are affected.
  void setFault(const ProxyFault &Fault, std::uint32_t Seed = 1);

  /// Resets all open connections, and refuses new ones for \p RefusalTime: the
  /// port is closed, or they are accepted and reset.
  void resetConnections(Duration RefusalTime = {}, bool IsPortClosed = true);

  /// Closes the port, as if no process listened, or opens it again.
  void setPortClosed(bool IsClosed);

  /// Drops all further traffic of the open connections without closing them.
  void blackholeConnections();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_FAULTPROXY_H
