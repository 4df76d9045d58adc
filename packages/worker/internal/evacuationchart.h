#ifndef CYCLAMENWALK_WORKER_INTERNAL_EVACUATIONCHART_H
#define CYCLAMENWALK_WORKER_INTERNAL_EVACUATIONCHART_H

#include "statechart/boundchart.h"

#include <cstdint>

namespace cyclamenwalk {

enum class EvacuationCondition : std::uint8_t { Open, Evacuated };
enum class EvacuationEvent { Evacuate, Withdraw };

template <> struct ChartNames<EvacuationCondition> {
  static constexpr std::array<std::string_view, 2> Values{"open", "evacuated"};
};
template <> struct ChartNames<EvacuationEvent> {
  static constexpr std::array<std::string_view, 2> Values{"evacuate",
                                                          "withdraw"};
};

struct EvacuationContext {
  EvacuationCondition m_State = EvacuationCondition::Open;
};

using EvacuationChart =
    BoundChart<EvacuationContext, EvacuationCondition, EvacuationEvent>;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_EVACUATIONCHART_H
