#ifndef CYCLAMENWALK_SLOT_TESTS_MOCKS_EXECUTORMOCK_H
#define CYCLAMENWALK_SLOT_TESTS_MOCKS_EXECUTORMOCK_H

#include "slot/iexecutor.h"

#include <gmock/gmock.h>
#include <map>

namespace cyclamenwalk {

class ExecutorMock : public IExecutor {
public:
  MOCK_METHOD(void, execute, (const std::string &, ExecutionRequest, Done),
              (override));
  MOCK_METHOD(void, stop, (const std::string &, TaskId), (override));
};

/// Records what runs and ends it when the test says so.
class ExecutorFake final : public IExecutor {
public:
  void execute(const std::string &, ExecutionRequest Request,
               Done Call) override {
    ++m_Starts[Request.m_Task];
    m_Running[Request.m_Task] = std::move(Call);
  }

  void stop(const std::string &, TaskId Task) override {
    m_Stopped.push_back(Task);
  }

  void finish(TaskId Task, ResultCode Code = ResultCode::Ok,
              const std::string &Answer = "answer") {
    auto Call = std::move(m_Running.at(Task));
    m_Running.erase(Task);
    Call({Code, Answer});
  }

  std::map<TaskId, int> m_Starts;
  std::map<TaskId, Done> m_Running;
  std::vector<TaskId> m_Stopped;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_TESTS_MOCKS_EXECUTORMOCK_H
