#ifndef CYCLAMENWALK_SLOT_TYPES_ENTRYCHOICE_H
#define CYCLAMENWALK_SLOT_TYPES_ENTRYCHOICE_H

#include "core/types/ids.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace cyclamenwalk {

/// An entry that could get a free slot.
struct EntryView {
  Incarnation m_Entry;
  /// Tasks that it said were waiting there.
  std::uint32_t m_Waiting = 0;
  /// Credits that it holds from this agent.
  std::uint32_t m_Credits = 0;
};

/// The place in \p Entries, which is not empty, of the one that gets a slot.
using EntryChoice = std::function<std::size_t(const std::vector<EntryView> &)>;

/// The entry with the most waiting tasks for the credits it holds; without
/// demand the one with the fewest credits.
std::size_t chooseByDemand(const std::vector<EntryView> &Entries);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_TYPES_ENTRYCHOICE_H
