#ifndef CYCLAMENWALK_JOB_INTERNAL_JOBADMISSION_H
#define CYCLAMENWALK_JOB_INTERNAL_JOBADMISSION_H

#include "configuration/iconfigurationstore.h"
#include "job/internal/agenttable.h"
#include "job/internal/dispatcher.h"
#include "policy/iruntimes.h"

namespace cyclamenwalk {

/// Decides whether a job is accepted, and estimates the run time of its tasks.
class JobAdmission {
public:
  JobAdmission(Admission Policy, EntryShareSource Share,
               const IConfigurationStore &Configuration,
               const AgentTable &Agents, const IRunTimes &RunTimes);

  /// Returns Ok, or why the job cannot be served at any load.
  ResultCode validate(const JobSpec &Spec) const;

  /// Returns Ok, or why the job is refused at the current length of the queue
  /// of \p ServiceDispatcher.
  ResultCode checkLoad(const JobSpec &Spec,
                       Dispatcher &ServiceDispatcher) const;

  /// Returns whether a job that has not started can still meet its deadline. A
  /// start that would miss it only takes the slot from a job that can meet its
  /// own.
  bool canMeetDeadline(const JobSpec &Spec, Duration Remaining) const;

  Duration deadlineOf(const JobSpec &Spec) const;
  Duration expectedTaskTime(const JobSpec &Spec) const;

private:
  const Admission m_Policy;
  const EntryShareSource m_Share;
  const IConfigurationStore &m_Configuration;
  const AgentTable &m_Agents;
  const IRunTimes &m_RunTimes;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_INTERNAL_JOBADMISSION_H
