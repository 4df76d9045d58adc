#ifndef CYCLAMENWALK_TESTS_SOAK_FAULTPROXY_H
#define CYCLAMENWALK_TESTS_SOAK_FAULTPROXY_H

#include "core/types/time.h"

#include <memory>
#include <string>

namespace cyclamenwalk {

/// What a proxy does to the bytes that pass it.
struct ProxyFault {
  /// Bytes are held back for this time.
  Duration m_Delay{};
  /// Bytes towards the server, or towards the client, are held back until the
  /// fault is over; new connections do not come about.
  bool m_IsCutToServer = false;
  bool m_IsCutToClient = false;
};

/// A TCP proxy on loopback that delays, cuts, silences and resets connections.
class FaultProxy {
public:
  FaultProxy(const std::string &Listen, const std::string &Target);
  ~FaultProxy();

  void setFault(const ProxyFault &Fault);

  /// Resets the connections that are open now.
  void resetConnections();

  /// No byte passes any more on the connections that are open now, and neither
  /// end is told.
  void silenceConnections();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_FAULTPROXY_H
