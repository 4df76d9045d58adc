#ifndef CYCLAMENWALK_TRANSPORT_TRANSPORTMODULE_H
#define CYCLAMENWALK_TRANSPORT_TRANSPORTMODULE_H

#include "core/icontrolqueue.h"
#include "core/imetrics.h"
#include "transport/itransport.h"
#include "transport/types/receivelimits.h"

#include <cstddef>
#include <memory>
#include <string>

namespace cyclamenwalk {

struct TransportSettings {
  /// IP:PORT to listen on.
  std::string m_Listen;
  /// Largest encoded message that is received or sent, in bytes.
  std::size_t m_MessageLimit = 16 * 1024 * 1024;
  ReceiveLimits m_ReceiveLimits{};
};

/// Message transport over nng's protocol. Each process has one PUSH socket per
/// channel, and takes the place of a PULL socket itself, so that it decides
/// what it reads; one thread sends and one receives.
class TransportModule {
public:
  /// Throws Error with ListenFailed when it cannot listen on the address.
  TransportModule(const TransportSettings &Settings, IControlQueue &Control,
                  IMetrics &Metrics);
  ~TransportModule();

  ITransport &transport();

  /// Sends the queued messages, then joins both threads.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_TRANSPORTMODULE_H
