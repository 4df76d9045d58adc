#include "policy/internal/workbuckets.h"

#include <algorithm>
#include <bit>

namespace cyclamenwalk {

std::size_t WorkBuckets::bucketOf(Duration JobWork) {
  auto Milliseconds = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, toMilliseconds(JobWork)));
  return std::min<std::size_t>(std::bit_width(Milliseconds), BucketCount - 1);
}

void WorkBuckets::add(Duration JobWork, Duration Amount) {
  m_Sums[bucketOf(JobWork)] += Amount;
}

Duration WorkBuckets::sumUpTo(Duration JobWork) const {
  Duration Sum{};
  for (std::size_t I = 0; I <= bucketOf(JobWork); ++I)
    Sum += m_Sums[I];
  return Sum;
}

} // namespace cyclamenwalk
