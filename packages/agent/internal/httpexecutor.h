#ifndef CYCLAMENWALK_AGENT_INTERNAL_HTTPEXECUTOR_H
#define CYCLAMENWALK_AGENT_INTERNAL_HTTPEXECUTOR_H

#include "http/ihttpclient.h"
#include "slot/iexecutor.h"

namespace cyclamenwalk {

/// Executes tasks at the backend server over HTTP (docs/BACKEND.md).
class HttpExecutor final : public IExecutor {
public:
  /// \p Tasks has one thread for each task that can run at a time; \p Control
  /// is for requests that must not wait for tasks to end.
  HttpExecutor(IHttpClient &Tasks, IHttpClient &Control)
      : m_Tasks(Tasks), m_Control(Control) {}

  void execute(const std::string &Address, ExecutionRequest Request,
               Done Callback) override;
  void stop(const std::string &Address, TaskId Task) override;

private:
  IHttpClient &m_Tasks;
  IHttpClient &m_Control;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_AGENT_INTERNAL_HTTPEXECUTOR_H
