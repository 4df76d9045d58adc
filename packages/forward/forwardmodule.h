#ifndef CYCLAMENWALK_FORWARD_FORWARDMODULE_H
#define CYCLAMENWALK_FORWARD_FORWARDMODULE_H

#include "batch/ibatchservice.h"
#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "forward/iforwardingservice.h"
#include "membership/ilinks.h"
#include "policy/types/placerchoice.h"
#include "statechart/ichartsource.h"

#include <memory>

namespace cyclamenwalk {

struct ForwardSettings {
  /// How often the room of this entry's workers is sent to other entries, if it
  /// has changed.
  Duration m_StatePeriod = milliseconds(200);
  /// The part of a caller's deadline that is reserved for sending the answer.
  /// Smaller than that of the owner, whose answer says more.
  Duration m_AnswerMargin = milliseconds(6);
  /// The number of owners that a job is offered to. Another one is tried only
  /// when one refuses the job before placing any task.
  std::uint32_t m_MaxOwners = 2;
  /// Of this entry, for the jobs of its callers.
  std::string m_FailureDomain;
};

struct ForwardHooks {
  PlacerChoice m_ChoosePlacer = choosePlacer;
};

struct ForwardDependencies {
  const IChartSource &m_Charts;
  /// Places the jobs that this entry owns.
  IBatchService &m_Jobs;
  ILinks &m_Links;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
};

std::unique_ptr<IForwardingService>
makeForwardingService(Incarnation Entry, ForwardSettings Settings,
                      ForwardHooks Hooks, ForwardDependencies Dependencies);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_FORWARDMODULE_H
