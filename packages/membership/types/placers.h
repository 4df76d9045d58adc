#ifndef CYCLAMENWALK_MEMBERSHIP_TYPES_PLACERS_H
#define CYCLAMENWALK_MEMBERSHIP_TYPES_PLACERS_H

#include "message/types/messages.h"

#include <functional>
#include <vector>

namespace cyclamenwalk {

/// Selects the members that place jobs on workers. Agents link to these, and
/// the other members forward their jobs to them. Every process must come to the
/// same result for the same members.
using PlacerSelection =
    std::function<std::vector<EntryAddress>(const std::vector<EntryAddress> &)>;

/// For members of unequal size: those with at least half of the largest
/// processor share. Few placers that see many workers each find free resources
/// more often than many that see few.
std::vector<EntryAddress>
selectLargeEntries(const std::vector<EntryAddress> &Members);

/// Baseline: every member is a placer.
std::vector<EntryAddress>
selectAllEntries(const std::vector<EntryAddress> &Members);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TYPES_PLACERS_H
