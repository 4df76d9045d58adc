#ifndef CYCLAMENWALK_SLOT_IEXECUTOR_H
#define CYCLAMENWALK_SLOT_IEXECUTOR_H

#include "slot/types/execution.h"

namespace cyclamenwalk {

/// Executes tasks on the backend server, from traffic threads.
class IExecutor {
public:
  using Done = std::function<void(ExecutionResult)>;

  virtual ~IExecutor() = default;

  /// Starts the task at \p Address; \p Call is called once, on the control
  /// thread.
  virtual void execute(const std::string &Address, ExecutionRequest Request,
                       Done Call) = 0;

  /// Asks the backend server to stop the task. execute() still ends.
  virtual void stop(const std::string &Address, TaskId Task) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_IEXECUTOR_H
