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

/// Links to the other processes.
std::unique_ptr<ILinks> makeLinks(ProcessIdentity Identity,
                                  LinkSettings Settings,
                                  const IChartSource &Charts,
                                  ITransport &Transport, ITimerService &Timers,
                                  IMetrics &Metrics);

/// The lease row of an entry, and the other members.
std::unique_ptr<IEntryRegistry>
makeEntryRegistry(EntryAddress Own, RegistrySettings Settings,
                  EntryRowCodec Codec, const IChartSource &Charts,
                  ITableService &Tables, ITimerService &Timers);

struct SelectionSettings {
  std::string m_OwnName;
  /// Addresses to try while no entry is known.
  std::vector<std::string> m_Seeds;
  /// How many entries an agent links to.
  std::size_t m_Links = 8;
  Duration m_CheckPeriod = seconds(1);
};

/// The choice of entries that an agent links to. \p FromStore looks the
/// entries up in the store and calls offer().
std::unique_ptr<IEntrySelection>
makeEntrySelection(SelectionSettings Settings, ILinks &Links,
                   ITimerService &Timers, std::function<void()> FromStore);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_MEMBERSHIPMODULE_H
