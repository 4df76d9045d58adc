#ifndef CYCLAMENWALK_POLICY_IRETRYBUDGET_H
#define CYCLAMENWALK_POLICY_IRETRYBUDGET_H

#include "core/types/time.h"

namespace cyclamenwalk {

/// Limits retries of refused starts to a ratio of all starts.
class IRetryBudget {
public:
  virtual ~IRetryBudget() = default;

  virtual void recordStart() = 0;

  /// Takes one retry from the budget and returns the delay before it: zero
  /// within the budget, a fixed delay once it is used up.
  virtual Duration takeRetryDelay() = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_IRETRYBUDGET_H
