#ifndef CYCLAMENWALK_FORWARD_TESTS_MOCKS_JOBLOOKUPMOCK_H
#define CYCLAMENWALK_FORWARD_TESTS_MOCKS_JOBLOOKUPMOCK_H

#include "forward/ijoblookup.h"

#include <gmock/gmock.h>

namespace cyclamenwalk {

class JobLookupMock : public IJobLookup {
public:
  MOCK_METHOD(void, cancel, (const std::string &, Duration, Callback),
              (override));
  MOCK_METHOD(void, find, (const std::string &, Duration, Callback),
              (override));
  MOCK_METHOD(void, close, (), (override));
  MOCK_METHOD(void, entryUp, (const Peer &), (override));
  MOCK_METHOD(void, entryDown, (const Peer &), (override));
  MOCK_METHOD(bool, receive, (Incarnation, Message &), (override));
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_TESTS_MOCKS_JOBLOOKUPMOCK_H
