#include "transport/internal/nngtransport.h"

namespace cyclamenwalk {

NngTransport::NngTransport(const TransportSettings &Settings,
                           IControlQueue &Control, IMetrics &Metrics)
    : m_Sender(Settings.m_MessageLimit, Metrics),
      // m_Receiver is set and used on the control thread only.
      m_MessageReceiver(Settings, Control, Metrics, [this](Envelope Value) {
        return m_Receiver && m_Receiver(std::move(Value));
      }) {}

NngTransport::~NngTransport() { stop(); }

void NngTransport::stop() {
  m_Sender.stop();
  m_MessageReceiver.stop();
}

void NngTransport::onReceive(Receiver Hook) { m_Receiver = std::move(Hook); }

ChannelId NngTransport::open(const std::string &Address) {
  ChannelId Channel = ++m_LastChannel;
  m_Sender.open(Channel, Address);
  return Channel;
}

void NngTransport::send(ChannelId Channel, Envelope Value) {
  m_Sender.send(Channel, std::move(Value));
}

void NngTransport::reconnect(ChannelId Channel) { m_Sender.reconnect(Channel); }

void NngTransport::close(ChannelId Channel) { m_Sender.close(Channel); }

} // namespace cyclamenwalk
