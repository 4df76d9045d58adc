#include "agent/internal/httpexecutor.h"
#include "core/tests/mocks/immediatequeue.h"
#include "http/multiplexhttp.h"
#include "http/tests/mocks/scriptedserver.h"

#include <future>
#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

ExecutionResult execute(HttpExecutor &Executor, const ScriptedServer &Server) {
  std::promise<ExecutionResult> Answer;
  ExecutionRequest Request;
  Request.m_Payload = "{}";
  Request.m_Timeout = seconds(5);
  Executor.execute(Server.address(), Request, [&](ExecutionResult Result) {
    Answer.set_value(std::move(Result));
  });
  return Answer.get_future().get();
}

} // namespace

/// The connection breaks after the backend server has read the second task.
TEST(HttpExecutor, executesTaskOnceWhenKeptConnectionBreaks) {
  ScriptedServer Server([](const ReceivedRequest &Request) -> ServerReaction {
    if (Request.m_Number == 2)
      return {"", ServerReaction::Ending::Reset};
    return {makeHttpText(200, "{\"result\":1}")};
  });
  ImmediateQueue Queue;
  MultiplexHttp Tasks({4, seconds(1)}, Queue);
  HttpExecutor Executor(Tasks, Tasks);
  EXPECT_EQ(execute(Executor, Server).m_Code, ResultCode::Ok);
  EXPECT_EQ(execute(Executor, Server).m_Code, ResultCode::BackendLost);
  EXPECT_EQ(Server.received("/execute"), 2);
}
