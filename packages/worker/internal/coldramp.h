#ifndef CYCLAMENWALK_WORKER_INTERNAL_COLDRAMP_H
#define CYCLAMENWALK_WORKER_INTERNAL_COLDRAMP_H

#include "core/types/resources.h"
#include "core/types/time.h"

namespace cyclamenwalk {

/// Slow start of a server that states how much longer it is slow after its
/// start: the share of its cores that is used grows linearly until then.
class ColdRamp {
public:
  /// Takes what the server states; zero for a server that is warm.
  void update(Duration Remaining, TimePoint Now);

  bool isCold(TimePoint Now) const { return Now < m_WarmAt; }

  /// The cores in thousandths that may be used of \p Capacity.
  std::int64_t usableMilliCores(const Resources &Capacity, TimePoint Now) const;

private:
  double usableShare(TimePoint Now) const;

  /// When the server first stated that it is cold; zero before.
  TimePoint m_ColdSince;
  TimePoint m_WarmAt;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_COLDRAMP_H
