#ifndef CYCLAMENWALK_MEMBERSHIP_MEMBERSHIPMODULE_H
#define CYCLAMENWALK_MEMBERSHIP_MEMBERSHIPMODULE_H

#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "membership/ientryregistry.h"
#include "membership/ientryselection.h"
#include "membership/ilinks.h"
#include "statechart/ichartsource.h"
#include "store/itableservice.h"
#include "transport/itransport.h"

#include <memory>

namespace cyclamenwalk {

std::unique_ptr<ILinks> makeLinks(ProcessIdentity Identity,
                                  LinkSettings Settings,
                                  const IChartSource &Charts,
                                  ITransport &Transport, ITimerService &Timers,
                                  IMetrics &Metrics);

std::unique_ptr<IEntryRegistry>
makeEntryRegistry(EntryAddress Self, RegistrySettings Settings,
                  EntryRowCodec Codec, const IChartSource &Charts,
                  ITableService &Tables, ITimerService &Timers);

struct SelectionSettings {
  std::string m_AgentName;
  /// Addresses to connect to while no link is up.
  std::vector<std::string> m_Seeds;
  /// The maximum number of entries that an agent links to.
  std::size_t m_MaxLinks = 8;
  Duration m_CheckPeriod = seconds(1);
};

/// \p LookUpEntries is called while no link is up; it reads the entries from
/// the store and calls setEntries().
std::unique_ptr<IEntrySelection>
makeEntrySelection(SelectionSettings Settings, ILinks &Links,
                   ITimerService &Timers, std::function<void()> LookUpEntries);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_MEMBERSHIPMODULE_H
