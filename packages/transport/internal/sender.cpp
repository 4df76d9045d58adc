#include "transport/internal/sender.h"

#include "core/error.h"
#include "core/log.h"
#include "protocol/codec.h"

namespace cyclamenwalk {

Sender::Sender(std::size_t MessageLimit, IMetrics &Metrics)
    : m_MessageLimit(MessageLimit), m_Metrics(Metrics),
      m_Thread([this] { run(); }) {}

Sender::~Sender() { stop(); }

void Sender::open(ChannelId Channel, const std::string &Address) {
  enqueue(OpenCommand{Channel, Address});
}

void Sender::send(ChannelId Channel, Envelope Value) {
  enqueue(SendCommand{Channel, std::move(Value)});
}

void Sender::reconnect(ChannelId Channel) {
  enqueue(ReconnectCommand{Channel});
}

void Sender::close(ChannelId Channel) { enqueue(CloseCommand{Channel}); }

void Sender::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_IsStopping = true;
    m_CommandsChanged.notify_one();
  }
  if (m_Thread.joinable())
    m_Thread.join();
}

void Sender::enqueue(Command NewCommand) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Commands.push_back(std::move(NewCommand));
  if (m_Commands.size() == 1)
    m_CommandsChanged.notify_one();
}

std::deque<Sender::Command> Sender::takeBatch() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_CommandsChanged.wait(
      Lock, [this] { return m_IsStopping || !m_Commands.empty(); });
  std::deque<Command> Batch;
  Batch.swap(m_Commands);
  return Batch;
}

void Sender::run() {
  for (auto Batch = takeBatch(); !Batch.empty(); Batch = takeBatch())
    for (Command &Queued : Batch)
      std::visit([this](auto &Concrete) { execute(Concrete); }, Queued);
}

void Sender::execute(OpenCommand &Open) {
  Channel &NewChannel = m_Channels[Open.m_Channel];
  NewChannel.m_Address = Open.m_Address;
  try {
    NewChannel.m_Socket = NngSocket::dialPush(Open.m_Address);
  } catch (const Error &Caught) {
    logEvent(LogLevel::Warning, "channel.open_failed",
             {{"address", Open.m_Address}, {"detail", Caught.what()}});
  }
}

void Sender::execute(SendCommand &Send) {
  auto It = m_Channels.find(Send.m_Channel);
  if (It == m_Channels.end())
    return;
  std::string Bytes = encode(Send.m_Envelope);
  if (Bytes.size() > m_MessageLimit) {
    logEvent(LogLevel::Error, "message.too_large",
             {{"bytes", Bytes.size()}, {"limit", m_MessageLimit}});
    return;
  }
  m_Metrics.count(Metric::MessagesSent);
  m_Metrics.count(Metric::BytesSent, Bytes.size());
  // The link sends a dropped message again when it is not acknowledged.
  if (!It->second.m_Socket.trySend(Bytes))
    logEvent(LogLevel::Debug, "message.queue_full",
             {{"address", It->second.m_Address}});
}

void Sender::execute(ReconnectCommand &Reconnect) {
  auto It = m_Channels.find(Reconnect.m_Channel);
  if (It == m_Channels.end())
    return;
  m_Metrics.count(Metric::Reconnects);
  OpenCommand Reopen{Reconnect.m_Channel, It->second.m_Address};
  m_Channels.erase(It);
  execute(Reopen);
}

void Sender::execute(CloseCommand &Close) { m_Channels.erase(Close.m_Channel); }

} // namespace cyclamenwalk
