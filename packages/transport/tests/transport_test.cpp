#include "core/controlloop.h"
#include "core/tests/mocks/metricsfake.h"
#include "transport/internal/nngsocket.h"
#include "transport/transportmodule.h"

#include <future>
#include <gtest/gtest.h>
#include <utility>

using namespace cyclamenwalk;

namespace {

constexpr const char *ListenAddress = "127.0.0.1:18471";

/// Tells when reading is paused. Counted on the receiving thread.
class PauseWatch final : public IMetrics {
public:
  void count(Metric Counter, std::uint64_t) override {
    if (Counter == Metric::LinkReadsPaused && !std::exchange(m_IsSet, true))
      m_Paused.set_value();
  }
  void observe(Timing, Duration) override {}

  bool waitForPause() {
    return m_Paused.get_future().wait_for(seconds(10)) ==
           std::future_status::ready;
  }

private:
  bool m_IsSet = false;
  std::promise<void> m_Paused;
};

} // namespace

TEST(Transport, deliversAfterMalformedMessageAndReconnect) {
  ControlLoop Loop;
  MetricsFake Metrics;
  TransportModule Module({ListenAddress}, Loop, Metrics);
  ITransport &Transport = Module.transport();
  std::vector<std::uint64_t> Received;
  Transport.onReceive([&](const Envelope &Value) {
    Received.push_back(Value.m_Sequence);
    if (Value.m_Sequence == 2)
      Loop.stop();
    return true;
  });
  NngSocket RawSocket = NngSocket::dialPush(ListenAddress);
  RawSocket.trySend("garbage");

  ChannelId Channel = Transport.open(ListenAddress);
  Envelope First;
  First.m_Sequence = 1;
  Transport.send(Channel, First);
  Loop.subscribe(milliseconds(200), [&] {
    Transport.reconnect(Channel);
    Envelope Second;
    Second.m_Sequence = 2;
    Transport.send(Channel, Second);
  });
  Loop.run();
  Module.stop();
  EXPECT_EQ(Received, (std::vector<std::uint64_t>{1, 2}));
  EXPECT_EQ(Metrics.of(Metric::MessagesMalformed), 1u);
  EXPECT_EQ(Metrics.of(Metric::Reconnects), 1u);
}

// Guards against a control queue without a limit in bytes, and against a link
// that isn't read again after its messages have been handled.
TEST(Transport, readsOnAfterWaitingMessagesAreHandled) {
  constexpr std::uint64_t MessageCount = 4000;
  constexpr std::size_t NameBytes = 500;
  ControlLoop Loop;
  PauseWatch Metrics;
  TransportSettings Settings{ListenAddress};
  Settings.m_ReceiveLimits.m_WaitingBytesPerConnection = 4096;
  TransportModule Module(Settings, Loop, Metrics);
  ITransport &Transport = Module.transport();
  std::vector<std::uint64_t> Received;
  Transport.onReceive([&](const Envelope &Value) {
    Received.push_back(Value.m_Sequence);
    if (Value.m_Sequence == MessageCount)
      Loop.stop();
    return true;
  });
  ChannelId Channel = Transport.open(ListenAddress);
  for (std::uint64_t I = 1; I <= MessageCount; ++I) {
    Envelope Value;
    Value.m_Sequence = I;
    Hello Body;
    Body.m_Name.assign(NameBytes, 'x');
    Value.m_Message = Body;
    Transport.send(Channel, Value);
  }
  EXPECT_TRUE(Metrics.waitForPause());
  EXPECT_TRUE(Received.empty());
  Loop.subscribe(seconds(20), [&] { Loop.stop(); });
  Loop.run();
  Module.stop();
  EXPECT_EQ(Received.size(), MessageCount);
}
