#ifndef CYCLAMENWALK_EVACUATION_EVACUATIONMODULE_H
#define CYCLAMENWALK_EVACUATION_EVACUATIONMODULE_H

#include "core/imetrics.h"
#include "evacuation/ievacuationstate.h"

#include <memory>

namespace cyclamenwalk {

std::unique_ptr<IEvacuationState> makeEvacuationState(IMetrics &Metrics);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_EVACUATION_EVACUATIONMODULE_H
