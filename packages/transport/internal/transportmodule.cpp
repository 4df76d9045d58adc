#include "transport/transportmodule.h"

#include "transport/internal/nngtransport.h"

namespace cyclamenwalk {

class TransportModule::Impl {
public:
  Impl(const TransportSettings &Settings, IControlQueue &Control,
       IMetrics &Metrics)
      : m_Transport(Settings, Control, Metrics) {}

  NngTransport m_Transport;
};

TransportModule::TransportModule(const TransportSettings &Settings,
                                 IControlQueue &Control, IMetrics &Metrics)
    : m_Impl(std::make_unique<Impl>(Settings, Control, Metrics)) {}
TransportModule::~TransportModule() = default;

ITransport &TransportModule::transport() { return m_Impl->m_Transport; }
void TransportModule::stop() { m_Impl->m_Transport.stop(); }

} // namespace cyclamenwalk
