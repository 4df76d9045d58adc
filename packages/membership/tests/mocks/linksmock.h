#ifndef CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKSMOCK_H
#define CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKSMOCK_H

#include "membership/ilinks.h"

#include <gmock/gmock.h>

namespace cyclamenwalk {

class LinksMock : public ILinks {
public:
  MOCK_METHOD(void, setHooks, (Hooks), (override));
  MOCK_METHOD(void, connect, (const std::string &), (override));
  MOCK_METHOD(void, send, (Incarnation, Message), (override));
  MOCK_METHOD(void, disconnect, (Incarnation), (override));
  MOCK_METHOD(TimePoint, confirmedAliveAt, (Incarnation), (const, override));
  MOCK_METHOD(TimePoint, callersAliveAt, (Incarnation), (const, override));
  MOCK_METHOD(bool, isFlushed, (), (const, override));
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_LINKSMOCK_H
