#ifndef CYCLAMENWALK_SLOT_IEXECUTOR_H
#define CYCLAMENWALK_SLOT_IEXECUTOR_H

#include "slot/types/execution.h"

namespace cyclamenwalk {

/// Executes tasks on the backend server, on traffic threads.
class IExecutor {
public:
  using Done = std::function<void(ExecutionResult)>;

  virtual ~IExecutor() = default;

  /// Starts a task at the backend server that listens at \p Address; \p OnDone
  /// is called exactly once, on the control thread.
  virtual void execute(const std::string &Address, ExecutionRequest Request,
                       Done OnDone) = 0;

  /// Asks the backend server to stop the task; the callback of execute() is
  /// still called.
  virtual void stop(const std::string &Address, TaskId Task) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_IEXECUTOR_H
