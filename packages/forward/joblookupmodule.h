#ifndef CYCLAMENWALK_FORWARD_JOBLOOKUPMODULE_H
#define CYCLAMENWALK_FORWARD_JOBLOOKUPMODULE_H

#include "batch/ibatchservice.h"
#include "core/itimerservice.h"
#include "forward/ijoblookup.h"
#include "membership/ilinks.h"
#include "statechart/ichartsource.h"

#include <memory>
#include <set>

namespace cyclamenwalk {

/// Refuses jobs whose name was cancelled recently: a job that was sent before
/// the cancellation may arrive after it.
class ICancelledJobs : public IBatchService {
public:
  /// Refuses jobs with that name for a while.
  virtual void refuse(const std::string &Name) = 0;
};

struct CancelledJobsSettings {
  /// Longer than a paused process or a caller that sends a job again may delay
  /// it.
  Duration m_RefusalTime = seconds(10);
};

/// Passes all calls but the submission of cancelled jobs on to \p Jobs.
std::unique_ptr<ICancelledJobs>
makeCancelledJobs(CancelledJobsSettings Settings, IBatchService &Jobs,
                  ITimerService &Timers);

struct JobLookupSettings {
  /// How often members that are not linked are looked for, and asked by another
  /// entry.
  Duration m_RetryPeriod = milliseconds(200);
};

/// The members, with or without this entry.
struct MemberView {
  std::set<Incarnation> m_Members;
  /// Whether all of them are known.
  bool m_IsComplete = false;
};

struct JobLookupHooks {
  std::function<MemberView()> m_Members;
  /// Called while a member that is not linked is waited for.
  std::function<void()> m_RefreshMembers;
  /// Called with the name of each job that is to be cancelled.
  std::function<void(const std::string &)> m_RefuseJob;
};

struct JobLookupDependencies {
  const IChartSource &m_Charts;
  IJobSubmission &m_Jobs;
  ILinks &m_Links;
  ITimerService &m_Timers;
};

std::unique_ptr<IJobLookup> makeJobLookup(Incarnation Entry,
                                          JobLookupSettings Settings,
                                          JobLookupHooks Hooks,
                                          JobLookupDependencies Dependencies);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_JOBLOOKUPMODULE_H
