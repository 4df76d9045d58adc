#ifndef CYCLAMENWALK_POLICY_INTERNAL_RETRYBUDGET_H
#define CYCLAMENWALK_POLICY_INTERNAL_RETRYBUDGET_H

#include "policy/iretrybudget.h"

namespace cyclamenwalk {

/// A bucket that each start fills by a share of a token.
class RetryBudget final : public IRetryBudget {
public:
  void recordStart() override;
  Duration takeRetry() override;

private:
  static constexpr double TokensPerStart = 0.2;
  static constexpr double MaxTokens = 200;
  static constexpr Duration PauseBeyond = milliseconds(100);

  double m_Tokens = MaxTokens;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_RETRYBUDGET_H
