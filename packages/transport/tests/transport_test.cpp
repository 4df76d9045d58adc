#include "core/controlloop.h"
#include "core/tests/mocks/metricsfake.h"
#include "transport/internal/nngsocket.h"
#include "transport/transportmodule.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

constexpr const char *ListenAddress = "127.0.0.1:18471";

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
