#ifndef CYCLAMENWALK_BATCH_INTERNAL_JOBADMISSION_H
#define CYCLAMENWALK_BATCH_INTERNAL_JOBADMISSION_H

#include "batch/batchmodule.h"
#include "batch/internal/batchjob.h"
#include "batch/internal/workertable.h"
#include "core/log.h"
#include "policy/types/fairshare.h"

namespace cyclamenwalk {

/// Decides whether planned jobs are admitted, from the starts of earlier ones
/// and, with BatchSettings::m_FairAdmission, from the shares of their groups.
class JobAdmission {
public:
  JobAdmission(const BatchSettings &Settings, const BatchHooks &Hooks,
               ITimerService &Timers, IMetrics &Metrics);

  /// Decides on \p Job, logs the decision and records it in the job.
  bool admit(BatchJob &Job, const PlacementJob &Request,
             const PlacementPlan &Plan, const WorkerTable &Workers);

  void recordResult(const BatchJob &Job, const RunResult &Result);

  /// Called once for each job that was decided on.
  void recordEnd(const BatchJob &Job);

  std::vector<GroupWork> groupWork() const;
  void receiveGroupWork(Incarnation Entry, const std::vector<GroupWork> &Work);

private:
  ObjectiveView view(const BatchJob &Job, const PlacementJob &Request,
                     const PlacementPlan &Plan,
                     const WorkerTable &Workers) const;
  bool admitByShare(BatchJob &Job, ObjectiveView &View, GroupShare &Share);
  static void logDecision(const BatchJob &Job, const PlacementJob &Request,
                          const PlacementPlan &Plan, bool IsAdmitted,
                          std::vector<LogField> MoreFields);

  const bool m_IsFair;
  const ObjectiveAdmission m_Admission;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  SlackControl m_SlackControl;
  /// The latest result of m_SlackControl.
  double m_SlackRatio = 1;
  WidthClasses m_WidthClasses;
  GroupWorkTable m_GroupWork;
  GroupSlack m_GroupSlack;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_INTERNAL_JOBADMISSION_H
