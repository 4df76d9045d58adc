#include "membership/membershipmodule.h"

#include "membership/internal/entryregistry.h"
#include "membership/internal/entryselection.h"
#include "membership/internal/links.h"

namespace cyclamenwalk {

std::unique_ptr<ILinks> makeLinks(ProcessIdentity Identity,
                                  LinkSettings Settings,
                                  const IChartSource &Charts,
                                  ITransport &Transport, ITimerService &Timers,
                                  IMetrics &Metrics) {
  return std::make_unique<Links>(std::move(Identity), Settings, Charts,
                                 Transport, Timers, Metrics);
}

std::unique_ptr<IEntryRegistry>
makeEntryRegistry(EntryAddress Self, RegistrySettings Settings,
                  EntryRowCodec Codec, const IChartSource &Charts,
                  ITableService &Tables, ITimerService &Timers) {
  return std::make_unique<EntryRegistry>(
      std::move(Self), Settings, std::move(Codec), Charts, Tables, Timers);
}

std::unique_ptr<IEntrySelection> makeEntrySelection(SelectionSettings Settings,
                                                    SelectionHooks Hooks,
                                                    ILinks &Links,
                                                    ITimerService &Timers) {
  return std::make_unique<EntrySelection>(std::move(Settings), std::move(Hooks),
                                          Links, Timers);
}

} // namespace cyclamenwalk
