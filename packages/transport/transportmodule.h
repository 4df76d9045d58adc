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
  /// Largest message taken or sent, in bytes.
  std::size_t m_MessageLimit = 16 * 1024 * 1024;
};

/// Messages over nng: each process listens on one PULL socket and has one PUSH
/// socket for each channel. One thread sends and one receives.
class TransportModule {
public:
  /// Throws Error with ListenFailed when the address cannot be listened on.
  TransportModule(const TransportSettings &Settings, IControlQueue &Control,
                  IMetrics &Metrics);
  ~TransportModule();

  ITransport &transport();

  /// Sends what is queued, then ends both threads.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_TRANSPORTMODULE_H
