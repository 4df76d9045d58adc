#ifndef CYCLAMENWALK_BATCH_BATCHMODULE_H
#define CYCLAMENWALK_BATCH_BATCHMODULE_H

#include "batch/ibatchservice.h"
#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "membership/ilinks.h"
#include "policy/policymodule.h"
#include "policy/types/fairshare.h"
#include "policy/types/placement.h"
#include "statechart/ichartsource.h"

#include <memory>

namespace cyclamenwalk {

/// The replaceable policies for batch jobs; the defaults can be exchanged for
/// baselines.
struct BatchHooks {
  Placement m_Placement = placeByEarliestFinish;
  ObjectiveAdmission m_Admission = admitWithinObjective;
  WaitingOrder m_Order = orderByStartAndPriority;
  SlackControlFactory m_SlackControl = makeAdaptiveSlack;
  /// Used with BatchSettings::m_FairAdmission.
  ObjectiveAdmission m_FairAdmission = admitByFairShare;
};

struct BatchDependencies {
  const IChartSource &m_Charts;
  ILinks &m_Links;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
};

std::unique_ptr<IBatchService> makeBatchService(Incarnation Entry,
                                                BatchSettings Settings,
                                                BatchHooks Hooks,
                                                BatchDependencies Dependencies);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_BATCHMODULE_H
