#ifndef CYCLAMENWALK_TESTS_SOAK_FAULTPROXY_H
#define CYCLAMENWALK_TESTS_SOAK_FAULTPROXY_H

#include "core/types/time.h"

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
};

/// A TCP proxy on loopback that delays, blocks and resets connections.
class FaultProxy {
public:
  FaultProxy(const std::string &Listen, const std::string &Target);
  ~FaultProxy();

  void setFault(const ProxyFault &Fault);

  /// Resets all open connections.
  void resetConnections();

  /// Drops all further traffic of the open connections without closing them.
  void blackholeConnections();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_FAULTPROXY_H
