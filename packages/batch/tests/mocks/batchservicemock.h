#ifndef CYCLAMENWALK_BATCH_TESTS_MOCKS_BATCHSERVICEMOCK_H
#define CYCLAMENWALK_BATCH_TESTS_MOCKS_BATCHSERVICEMOCK_H

#include "batch/ibatchservice.h"

#include <gmock/gmock.h>

namespace cyclamenwalk {

class BatchServiceMock : public IBatchService {
public:
  MOCK_METHOD(JobId, submit, (BatchSpec, BatchCallback), (override));
  MOCK_METHOD(void, removeCaller, (JobId), (override));
  MOCK_METHOD(bool, cancel, (const std::string &), (override));
  MOCK_METHOD(bool, isRunning, (const std::string &), (const, override));
  MOCK_METHOD(std::size_t, waiting, (const std::string &), (const, override));
  MOCK_METHOD(void, agentUp, (const Peer &), (override));
  MOCK_METHOD(void, agentDown, (const Peer &), (override));
  MOCK_METHOD(void, receive, (Incarnation, Message &), (override));
  MOCK_METHOD(bool, isStopping, (const std::string &), (const, override));
  MOCK_METHOD(bool, hasWorkers, (), (const, override));
  MOCK_METHOD(std::vector<ServiceRoom>, rooms, (), (const, override));
  MOCK_METHOD(std::vector<GroupWork>, groupWork, (), (const, override));
  MOCK_METHOD(void, receiveGroupWork,
              (Incarnation, const std::vector<GroupWork> &), (override));
  MOCK_METHOD(std::size_t, running, (), (const, override));
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_TESTS_MOCKS_BATCHSERVICEMOCK_H
