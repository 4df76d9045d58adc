#ifndef CYCLAMENWALK_SLOT_SLOTMODULE_H
#define CYCLAMENWALK_SLOT_SLOTMODULE_H

#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "membership/ilinks.h"
#include "slot/iexecutor.h"
#include "slot/islotservice.h"
#include "slot/types/entrychoice.h"
#include "statechart/ichartsource.h"

#include <memory>

namespace cyclamenwalk {

std::unique_ptr<ISlotService>
makeSlotService(SlotSettings Settings, EntryChoice ChooseEntry,
                const IChartSource &Charts, ILinks &Links, IExecutor &Executor,
                ITimerService &Timers, IMetrics &Metrics);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_SLOTMODULE_H
