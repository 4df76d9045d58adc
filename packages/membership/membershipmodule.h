#ifndef CYCLAMENWALK_MEMBERSHIP_MEMBERSHIPMODULE_H
#define CYCLAMENWALK_MEMBERSHIP_MEMBERSHIPMODULE_H

#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "membership/ientryregistry.h"
#include "membership/ientryselection.h"
#include "membership/ilinks.h"
#include "membership/types/placers.h"
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
  /// How long an entry that did not reply is passed over; doubles up to the
  /// maximum.
  Duration m_MinBackoff = seconds(1);
  Duration m_MaxBackoff = seconds(8);
  /// An entry is forgotten after it did not reply this often in a row, which
  /// takes longer than it remains a member at the other entries: they tell of
  /// it again when it comes back.
  std::uint32_t m_MaxFailures = 10;
  /// A link is kept for this time after its entry is no longer selected.
  Duration m_ReleaseDelay = seconds(3);
};

struct SelectionHooks {
  /// Called while no link is up; reads the entries from the store and calls
  /// setEntries().
  std::function<void()> m_LookUpEntries;
  /// Closes the link to an entry that is not selected, once it is no longer
  /// used. Without this hook such links are kept.
  std::function<void(Incarnation)> m_ReleaseLink;
  PlacerSelection m_SelectPlacers = selectLargeEntries;
};

std::unique_ptr<IEntrySelection> makeEntrySelection(SelectionSettings Settings,
                                                    SelectionHooks Hooks,
                                                    ILinks &Links,
                                                    ITimerService &Timers);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_MEMBERSHIPMODULE_H
