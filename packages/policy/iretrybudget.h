#ifndef CYCLAMENWALK_POLICY_IRETRYBUDGET_H
#define CYCLAMENWALK_POLICY_IRETRYBUDGET_H

#include "core/types/time.h"

namespace cyclamenwalk {

/// Bounds how much a refused start may be repeated, as a share of starts.
class IRetryBudget {
public:
  virtual ~IRetryBudget() = default;

  virtual void recordStart() = 0;

  /// How long to wait before a refused task is placed again: nothing within
  /// the budget, a pause beyond it.
  virtual Duration takeRetry() = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_IRETRYBUDGET_H
