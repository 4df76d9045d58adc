#ifndef CYCLAMENWALK_TRANSPORT_INTERNAL_SENDER_H
#define CYCLAMENWALK_TRANSPORT_INTERNAL_SENDER_H

#include "core/imetrics.h"
#include "transport/internal/nngsocket.h"
#include "transport/itransport.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <variant>

namespace cyclamenwalk {

/// The sending traffic thread: owns the channels, encodes and sends.
class Sender {
public:
  Sender(std::size_t MessageLimit, IMetrics &Metrics);
  ~Sender();

  void open(ChannelId Channel, const std::string &Address);
  void send(ChannelId Channel, Envelope Value);
  void redial(ChannelId Channel);
  void close(ChannelId Channel);

  /// Carries out what is queued and ends the thread.
  void stop();

private:
  struct OpenCommand {
    ChannelId m_Channel;
    std::string m_Address;
  };
  struct SendCommand {
    ChannelId m_Channel;
    Envelope m_Envelope;
  };
  struct RedialCommand {
    ChannelId m_Channel;
  };
  struct CloseCommand {
    ChannelId m_Channel;
  };
  using Command =
      std::variant<OpenCommand, SendCommand, RedialCommand, CloseCommand>;

  struct Channel {
    std::string m_Address;
    NngSocket m_Socket;
  };

  void queue(Command Next);
  void run();
  std::deque<Command> takeBatch();
  void carryOut(OpenCommand &Next);
  void carryOut(SendCommand &Next);
  void carryOut(RedialCommand &Next);
  void carryOut(CloseCommand &Next);

  const std::size_t m_MessageLimit;
  IMetrics &m_Metrics;
  std::mutex m_Mutex;
  std::condition_variable m_Ready;
  std::deque<Command> m_Commands;
  bool m_Stopped = false;
  // The channels belong to the thread.
  std::map<ChannelId, Channel> m_Channels;
  std::thread m_Thread;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_INTERNAL_SENDER_H
