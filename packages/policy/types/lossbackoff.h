#ifndef CYCLAMENWALK_POLICY_TYPES_LOSSBACKOFF_H
#define CYCLAMENWALK_POLICY_TYPES_LOSSBACKOFF_H

#include "core/types/time.h"

#include <cstddef>
#include <deque>

namespace cyclamenwalk {

/// For servers that alternate between down and up: a pause before the first
/// work after a return, which grows with the number of losses in the last
/// seconds and is bounded. There is none after a single loss.
class LossBackoff {
public:
  void recordLoss(TimePoint Now);

  /// The pause from \p Now on; zero for none.
  Duration pause(TimePoint Now) const;

  /// The number of losses in the last seconds.
  std::size_t recentLosses(TimePoint Now) const;

private:
  /// Bounded; the latest one last.
  std::deque<TimePoint> m_Losses;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_LOSSBACKOFF_H
