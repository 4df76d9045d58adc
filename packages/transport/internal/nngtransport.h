#ifndef CYCLAMENWALK_TRANSPORT_INTERNAL_NNGTRANSPORT_H
#define CYCLAMENWALK_TRANSPORT_INTERNAL_NNGTRANSPORT_H

#include "transport/internal/messagereceiver.h"
#include "transport/internal/sender.h"
#include "transport/transportmodule.h"

namespace cyclamenwalk {

/// The transport over nng. A sender encodes on its own thread; a receiver
/// decodes on another.
class NngTransport final : public ITransport {
public:
  NngTransport(const TransportSettings &Settings, IControlQueue &Control,
               IMetrics &Metrics);
  ~NngTransport() override;

  void onReceive(Receiver Hook) override;
  ChannelId open(const std::string &Address) override;
  void send(ChannelId Channel, Envelope Value) override;
  void reconnect(ChannelId Channel) override;
  void close(ChannelId Channel) override;

  void stop();

private:
  Receiver m_Receiver;
  ChannelId m_LastChannel = 0;
  Sender m_Sender;
  MessageReceiver m_MessageReceiver;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_INTERNAL_NNGTRANSPORT_H
