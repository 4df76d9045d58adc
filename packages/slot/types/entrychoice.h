#ifndef CYCLAMENWALK_SLOT_TYPES_ENTRYCHOICE_H
#define CYCLAMENWALK_SLOT_TYPES_ENTRYCHOICE_H

#include "core/types/ids.h"
#include "core/types/time.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace cyclamenwalk {

/// An entry that could get a free slot.
struct EntryView {
  Incarnation m_Entry;
  /// Tasks that it said were waiting there.
  std::uint32_t m_Waiting = 0;
  /// The order key of the first of them; earlier is more urgent.
  TimePoint m_Key;
  /// Credits that it holds from this agent.
  std::uint32_t m_Credits = 0;
  /// Whether the slot was its own until now, so that the credit needs no
  /// message.
  bool m_IsFinisher = false;
};

/// The place in \p Entries, which is not empty, of the one that gets a slot.
using EntryChoice = std::function<std::size_t(const std::vector<EntryView> &)>;

/// The entry whose first waiting task is the most urgent; without demand the
/// one with the fewest credits. The finisher keeps the slot when the others
/// have little advantage, which saves a message.
std::size_t chooseByDemand(const std::vector<EntryView> &Entries);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_TYPES_ENTRYCHOICE_H
