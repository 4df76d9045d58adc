#ifndef CYCLAMENWALK_SLOT_TYPES_ENTRYCHOICE_H
#define CYCLAMENWALK_SLOT_TYPES_ENTRYCHOICE_H

#include "core/types/ids.h"
#include "core/types/time.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace cyclamenwalk {

/// An entry that may be granted a free slot.
struct EntryCandidate {
  Incarnation m_Entry;
  /// The number of tasks that wait at the entry, as it last stated.
  std::uint32_t m_Waiting = 0;
  /// The order key of the first waiting task; earlier is more urgent.
  TimePoint m_OrderKey;
  /// The number of credits that it holds from this agent.
  std::uint32_t m_Credits = 0;
  /// Whether it held the slot until now, so that its credit is sent with the
  /// task's result and needs no message of its own.
  bool m_IsPreviousHolder = false;
};

/// Returns the index in \p Candidates, which is not empty, of the entry that is
/// granted a slot.
using EntryChoice =
    std::function<std::size_t(const std::vector<EntryCandidate> &)>;

/// Chooses the entry whose first waiting task is the most urgent or, if no
/// tasks wait, the entry with the fewest credits. To save a message, the
/// previous holder keeps the slot unless another entry is clearly ahead.
std::size_t chooseByDemand(const std::vector<EntryCandidate> &Candidates);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_TYPES_ENTRYCHOICE_H
