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
  queue(OpenCommand{Channel, Address});
}

void Sender::send(ChannelId Channel, Envelope Value) {
  queue(SendCommand{Channel, std::move(Value)});
}

void Sender::redial(ChannelId Channel) { queue(RedialCommand{Channel}); }

void Sender::close(ChannelId Channel) { queue(CloseCommand{Channel}); }

void Sender::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopped = true;
    m_Ready.notify_one();
  }
  if (m_Thread.joinable())
    m_Thread.join();
}

void Sender::queue(Command Next) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Commands.push_back(std::move(Next));
  if (m_Commands.size() == 1)
    m_Ready.notify_one();
}

std::deque<Sender::Command> Sender::takeBatch() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  m_Ready.wait(Lock, [this] { return m_Stopped || !m_Commands.empty(); });
  std::deque<Command> Batch;
  Batch.swap(m_Commands);
  return Batch;
}

void Sender::run() {
  for (auto Batch = takeBatch(); !Batch.empty(); Batch = takeBatch())
    for (Command &Next : Batch)
      std::visit([this](auto &Known) { carryOut(Known); }, Next);
}

void Sender::carryOut(OpenCommand &Next) {
  Channel &Opened = m_Channels[Next.m_Channel];
  Opened.m_Address = Next.m_Address;
  try {
    Opened.m_Socket = NngSocket::dialPush(Next.m_Address);
  } catch (const Error &Caught) {
    logEvent(LogLevel::Warning, "channel.unusable",
             {{"address", Next.m_Address}, {"detail", Caught.what()}});
  }
}

void Sender::carryOut(SendCommand &Next) {
  auto Known = m_Channels.find(Next.m_Channel);
  if (Known == m_Channels.end())
    return;
  std::string Bytes = encode(Next.m_Envelope);
  if (Bytes.size() > m_MessageLimit) {
    logEvent(LogLevel::Error, "message.too_large", {{"bytes", Bytes.size()}});
    return;
  }
  m_Metrics.count(Metric::MessagesSent);
  m_Metrics.count(Metric::BytesSent, Bytes.size());
  // What does not fit is sent again by the link when no reply comes.
  if (!Known->second.m_Socket.trySend(Bytes))
    logEvent(LogLevel::Debug, "message.no_room",
             {{"address", Known->second.m_Address}});
}

void Sender::carryOut(RedialCommand &Next) {
  auto Known = m_Channels.find(Next.m_Channel);
  if (Known == m_Channels.end())
    return;
  m_Metrics.count(Metric::Redials);
  OpenCommand Again{Next.m_Channel, Known->second.m_Address};
  m_Channels.erase(Known);
  carryOut(Again);
}

void Sender::carryOut(CloseCommand &Next) { m_Channels.erase(Next.m_Channel); }

} // namespace cyclamenwalk
