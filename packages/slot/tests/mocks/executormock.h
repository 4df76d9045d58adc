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

/// Records the tasks that are executed, which the test ends with finish().
class ExecutorFake final : public IExecutor {
public:
  void execute(const std::string &, ExecutionRequest Request,
               Done OnDone) override {
    ++m_Starts[Request.m_Task];
    m_Running[Request.m_Task] = std::move(OnDone);
  }

  void stop(const std::string &, TaskId Task) override {
    m_Stopped.push_back(Task);
  }

  void finish(TaskId Task, ResultCode Code = ResultCode::Ok,
              const std::string &Answer = "answer") {
    finishWith(Task, {Code, Answer});
  }

  void finishWith(TaskId Task, ExecutionResult Result) {
    auto OnDone = std::move(m_Running.at(Task));
    m_Running.erase(Task);
    OnDone(std::move(Result));
  }

  std::map<TaskId, int> m_Starts;
  std::map<TaskId, Done> m_Running;
  std::vector<TaskId> m_Stopped;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_TESTS_MOCKS_EXECUTORMOCK_H
