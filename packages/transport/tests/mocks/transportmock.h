#ifndef CYCLAMENWALK_TRANSPORT_TESTS_MOCKS_TRANSPORTMOCK_H
#define CYCLAMENWALK_TRANSPORT_TESTS_MOCKS_TRANSPORTMOCK_H

#include "transport/itransport.h"

#include <functional>
#include <gmock/gmock.h>

namespace cyclamenwalk {

class TransportMock : public ITransport {
public:
  MOCK_METHOD(void, onReceive, (Receiver), (override));
  MOCK_METHOD(ChannelId, open, (const std::string &), (override));
  MOCK_METHOD(void, send, (ChannelId, Envelope), (override));
  MOCK_METHOD(void, reconnect, (ChannelId), (override));
  MOCK_METHOD(void, close, (ChannelId), (override));
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_TESTS_MOCKS_TRANSPORTMOCK_H
