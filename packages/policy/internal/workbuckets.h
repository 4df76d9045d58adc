#ifndef CYCLAMENWALK_POLICY_INTERNAL_WORKBUCKETS_H
#define CYCLAMENWALK_POLICY_INTERNAL_WORKBUCKETS_H

#include "core/types/time.h"

#include <array>

namespace cyclamenwalk {

/// Sums of waiting work by the size of the job, in powers of two, to answer
/// how much work is in jobs no larger than a given one.
class WorkBuckets {
public:
  void add(Duration JobWork, Duration Amount);

  /// Work in jobs up to about \p JobWork.
  Duration upTo(Duration JobWork) const;

private:
  static constexpr std::size_t Count = 40;

  static std::size_t bucketOf(Duration JobWork);

  std::array<Duration, Count> m_Sums{};
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_WORKBUCKETS_H
