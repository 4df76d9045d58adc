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

/// The traffic thread that owns the channels, and encodes and sends messages.
class Sender {
public:
  Sender(std::size_t MessageLimit, IMetrics &Metrics);
  ~Sender();

  void open(ChannelId Channel, const std::string &Address);
  void send(ChannelId Channel, Envelope Value);
  void reconnect(ChannelId Channel);
  void close(ChannelId Channel);

  /// Executes the queued commands, then joins the thread.
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
  struct ReconnectCommand {
    ChannelId m_Channel;
  };
  struct CloseCommand {
    ChannelId m_Channel;
  };
  using Command =
      std::variant<OpenCommand, SendCommand, ReconnectCommand, CloseCommand>;

  struct Channel {
    std::string m_Address;
    NngSocket m_Socket;
  };

  void enqueue(Command NewCommand);
  void run();
  std::deque<Command> takeBatch();
  void execute(OpenCommand &Open);
  void execute(SendCommand &Send);
  void execute(ReconnectCommand &Reconnect);
  void execute(CloseCommand &Close);

  const std::size_t m_MessageLimit;
  IMetrics &m_Metrics;
  std::mutex m_Mutex;
  std::condition_variable m_CommandsChanged;
  std::deque<Command> m_Commands;
  bool m_IsStopping = false;
  // Used on m_Thread only.
  std::map<ChannelId, Channel> m_Channels;
  std::thread m_Thread;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_INTERNAL_SENDER_H
