#ifndef CYCLAMENWALK_JOB_INTERNAL_JOBADMISSION_H
#define CYCLAMENWALK_JOB_INTERNAL_JOBADMISSION_H

#include "configuration/iconfigurationstore.h"
#include "job/internal/agenttable.h"
#include "job/internal/dispatcher.h"
#include "policy/iruntimes.h"

namespace cyclamenwalk {

/// Whether a job can be served, and what is expected of its tasks.
class JobAdmission {
public:
  JobAdmission(Admission Decide, EntryShareSource Share,
               const IConfigurationStore &Configuration,
               const AgentTable &Agents, const IRunTimes &RunTimes);

  /// Ok, or why the job cannot be served whatever the load.
  ResultCode check(const JobSpec &Spec) const;

  /// Ok, or why it is refused as the queue of \p Owner stands.
  ResultCode admit(const JobSpec &Spec, Dispatcher &Owner) const;

  /// Whether a job that has not run yet can still end in time. A start that is
  /// bound to be late would only take the slot from one that is not.
  bool isWorthStarting(const JobSpec &Spec, Duration Remaining) const;

  Duration deadlineOf(const JobSpec &Spec) const;
  Duration expectedTaskTime(const JobSpec &Spec) const;

private:
  const Admission m_Admission;
  const EntryShareSource m_Share;
  const IConfigurationStore &m_Configuration;
  const AgentTable &m_Agents;
  const IRunTimes &m_RunTimes;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_INTERNAL_JOBADMISSION_H
