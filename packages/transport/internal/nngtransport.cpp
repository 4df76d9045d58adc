#include "transport/internal/nngtransport.h"

#include "core/error.h"
#include "core/log.h"
#include "protocol/codec.h"

namespace cyclamenwalk {

NngTransport::NngTransport(const TransportSettings &Settings,
                           IControlQueue &Control, IMetrics &Metrics)
    : m_Settings(Settings), m_Control(Control), m_Metrics(Metrics),
      m_Sender(Settings.m_MessageLimit, Metrics),
      m_Listener(
          NngSocket::listenPull(Settings.m_Listen, Settings.m_MessageLimit)),
      m_ReceiveThread([this] { receiveMessages(); }) {}

NngTransport::~NngTransport() { stop(); }

void NngTransport::stop() {
  m_Sender.stop();
  m_Listener.close();
  if (m_ReceiveThread.joinable())
    m_ReceiveThread.join();
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

void NngTransport::receiveMessages() {
  std::string Bytes;
  while (m_Listener.receive(Bytes))
    decodeAndPost(Bytes);
}

void NngTransport::decodeAndPost(const std::string &Bytes) {
  try {
    Envelope Value = decode(Bytes, m_Settings.m_MessageLimit);
    m_Metrics.count(Metric::MessagesReceived);
    // m_Receiver is set and used on the control thread only.
    m_Control.post([this, Value = std::move(Value)]() mutable {
      if (m_Receiver)
        m_Receiver(std::move(Value));
    });
  } catch (const Error &Caught) {
    m_Metrics.count(Metric::MessagesMalformed);
    logEvent(LogLevel::Warning, "message.refused",
             {{"code", static_cast<int>(Caught.code())},
              {"bytes", Bytes.size()},
              {"detail", Caught.what()}});
  }
}

} // namespace cyclamenwalk
