#ifndef CYCLAMENWALK_AGENT_INTERNAL_HTTPEXECUTOR_H
#define CYCLAMENWALK_AGENT_INTERNAL_HTTPEXECUTOR_H

#include "http/ihttpclient.h"
#include "slot/iexecutor.h"

namespace cyclamenwalk {

/// Executes tasks over HTTP (docs/BACKEND.md).
class HttpExecutor final : public IExecutor {
public:
  /// \p Tasks has as many threads as tasks can run at once; \p Control is for
  /// calls that must not wait behind them.
  HttpExecutor(IHttpClient &Tasks, IHttpClient &Control)
      : m_Tasks(Tasks), m_Control(Control) {}

  void execute(const std::string &Address, ExecutionRequest Request,
               Done Call) override;
  void stop(const std::string &Address, TaskId Task) override;

private:
  IHttpClient &m_Tasks;
  IHttpClient &m_Control;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_AGENT_INTERNAL_HTTPEXECUTOR_H
