#include "forward/joblookupmodule.h"

#include "forward/internal/cancelledjobs.h"
#include "forward/internal/joblookup.h"

namespace cyclamenwalk {

std::unique_ptr<ICancelledJobs>
makeCancelledJobs(CancelledJobsSettings Settings, IBatchService &Jobs,
                  ITimerService &Timers) {
  return std::make_unique<CancelledJobs>(Settings, Jobs, Timers);
}

std::unique_ptr<IJobLookup> makeJobLookup(Incarnation Entry,
                                          JobLookupSettings Settings,
                                          JobLookupHooks Hooks,
                                          JobLookupDependencies Dependencies) {
  return std::make_unique<JobLookup>(Entry, Settings, std::move(Hooks),
                                     Dependencies);
}

} // namespace cyclamenwalk
