#ifndef CYCLAMENWALK_JOB_JOBMODULE_H
#define CYCLAMENWALK_JOB_JOBMODULE_H

#include "configuration/iconfigurationstore.h"
#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "job/ijobservice.h"
#include "membership/ilinks.h"
#include "policy/policymodule.h"
#include "policy/types/entryshare.h"
#include "statechart/ichartsource.h"

#include <memory>

namespace cyclamenwalk {

/// Services of other packages that the job service uses.
struct JobDependencies {
  const IChartSource &m_Charts;
  ILinks &m_Links;
  IConfigurationStore &m_Configuration;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
};

std::unique_ptr<IJobService>
makeJobService(Incarnation Entry, JobSettings Settings, PolicyHooks Hooks,
               EntryShareSource Share, JobDependencies Dependencies);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_JOBMODULE_H
