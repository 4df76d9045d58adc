#ifndef CYCLAMENWALK_POLICY_INTERNAL_WORKBUCKETS_H
#define CYCLAMENWALK_POLICY_INTERNAL_WORKBUCKETS_H

#include "core/types/time.h"

#include <array>

namespace cyclamenwalk {

/// Waiting work summed by job size in power-of-two buckets, to estimate the
/// work of jobs up to a given size.
class WorkBuckets {
public:
  void add(Duration JobWork, Duration Amount);

  /// The work of jobs of up to about \p JobWork.
  Duration sumUpTo(Duration JobWork) const;

private:
  static constexpr std::size_t BucketCount = 40;

  static std::size_t bucketOf(Duration JobWork);

  std::array<Duration, BucketCount> m_Sums{};
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_WORKBUCKETS_H
