#ifndef CYCLAMENWALK_POLICY_INTERNAL_RETRYBUDGET_H
#define CYCLAMENWALK_POLICY_INTERNAL_RETRYBUDGET_H

#include "policy/iretrybudget.h"

namespace cyclamenwalk {

/// A token bucket: a start adds a fraction of a token, a retry takes one.
class RetryBudget final : public IRetryBudget {
public:
  void recordStart() override;
  Duration takeRetryDelay() override;

private:
  static constexpr double TokensPerStart = 0.2;
  static constexpr double MaxTokens = 200;
  static constexpr Duration OverBudgetDelay = milliseconds(100);

  double m_Tokens = MaxTokens;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_RETRYBUDGET_H
