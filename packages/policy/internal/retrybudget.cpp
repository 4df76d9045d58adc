#include "policy/internal/retrybudget.h"

#include <algorithm>

namespace cyclamenwalk {

void RetryBudget::recordStart() {
  m_Tokens = std::min(MaxTokens, m_Tokens + TokensPerStart);
}

Duration RetryBudget::takeRetryDelay() {
  if (m_Tokens < 1)
    return OverBudgetDelay;
  m_Tokens -= 1;
  return Duration::zero();
}

} // namespace cyclamenwalk
