#ifndef CYCLAMENWALK_ENTRY_INTERNAL_ENTRYCONTEXT_H
#define CYCLAMENWALK_ENTRY_INTERNAL_ENTRYCONTEXT_H

#include "configuration/iapplyservice.h"
#include "configuration/iconfigurationstore.h"
#include "core/icontrolqueue.h"
#include "core/itimerservice.h"
#include "job/ijobservice.h"
#include "membership/ientryregistry.h"
#include "metrics/metricsregistry.h"
#include "process/processlifecycle.h"
#include "request/irequestservice.h"
#include "store/itableservice.h"

#include <string>

namespace cyclamenwalk {

/// The services that the HTTP interfaces of an entry use. They are called on
/// the control thread only.
struct EntryContext {
  EntryAddress m_Self;
  std::string m_OperatorToken;
  IControlQueue &m_Control;
  ITimerService &m_Timers;
  IJobService &m_Jobs;
  IRequestService &m_Requests;
  IEntryRegistry &m_Registry;
  IConfigurationStore &m_Configuration;
  IApplyService &m_Apply;
  ITableService &m_Tables;
  ProcessLifecycle &m_Process;
  MetricsRegistry &m_Metrics;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_INTERNAL_ENTRYCONTEXT_H
