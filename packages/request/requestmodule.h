#ifndef CYCLAMENWALK_REQUEST_REQUESTMODULE_H
#define CYCLAMENWALK_REQUEST_REQUESTMODULE_H

#include "core/itimerservice.h"
#include "job/ijobservice.h"
#include "request/irequestservice.h"
#include "statechart/ichartsource.h"
#include "store/itableservice.h"

#include <memory>

namespace cyclamenwalk {

/// Services of other packages that the request service uses.
struct RequestDependencies {
  const IChartSource &m_Charts;
  IJobService &m_Jobs;
  ITableService &m_Tables;
  ITimerService &m_Timers;
};

std::unique_ptr<IRequestService>
makeRequestService(Incarnation Entry, RequestSettings Settings,
                   ClaimRowCodec Codec, FetchFromOwner Fetch,
                   RequestDependencies Dependencies);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_REQUESTMODULE_H
