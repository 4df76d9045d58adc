#include "policy/types/lossbackoff.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Losses are remembered for this time.
constexpr Duration LossWindow = seconds(15);
/// Losses from which on a server counts as unsteady.
constexpr std::size_t MinLosses = 2;
/// The pause doubles with each further loss.
constexpr Duration MinPause = milliseconds(500);
constexpr std::size_t MaxDoublings = 3;

} // namespace

void LossBackoff::recordLoss(TimePoint Now) {
  m_Losses.push_back(Now);
  if (m_Losses.size() > MinLosses + MaxDoublings)
    m_Losses.pop_front();
}

std::size_t LossBackoff::recentLosses(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(m_Losses.begin(), m_Losses.end(),
                    [Now](TimePoint At) { return Now - At < LossWindow; }));
}

Duration LossBackoff::pause(TimePoint Now) const {
  std::size_t Losses = recentLosses(Now);
  if (Losses < MinLosses)
    return Duration::zero();
  return MinPause * (1U << std::min(Losses - MinLosses, MaxDoublings));
}

} // namespace cyclamenwalk
