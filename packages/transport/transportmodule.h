#ifndef CYCLAMENWALK_TRANSPORT_TRANSPORTMODULE_H
#define CYCLAMENWALK_TRANSPORT_TRANSPORTMODULE_H

#include "core/icontrolqueue.h"
#include "core/imetrics.h"
#include "transport/itransport.h"

#include <cstddef>
#include <memory>
#include <string>

namespace cyclamenwalk {

struct TransportSettings {
  /// IP:PORT to listen on.
  std::string m_Listen;
  /// Largest encoded message that is received or sent, in bytes.
  std::size_t m_MessageLimit = 16 * 1024 * 1024;
};

/// Message transport over nng. Each process listens on one PULL socket and has
/// one PUSH socket per channel; one thread sends and one receives.
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
