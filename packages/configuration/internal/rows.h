#ifndef CYCLAMENWALK_CONFIGURATION_INTERNAL_ROWS_H
#define CYCLAMENWALK_CONFIGURATION_INTERNAL_ROWS_H

#include "store/types/table.h"

#include <cstdint>
#include <string>

namespace cyclamenwalk {

/// Returns the key of the row with the current configuration record.
RowKey headRow();

/// Returns the key of the audit row of \p Version. Keys sort by version.
RowKey auditRow(std::uint64_t Version);

/// Returns the key of the row that exists if an apply was accepted.
RowKey applyRow(const std::string &ApplyId);

/// Returns the name of the object with the text of \p Digest.
std::string textObjectName(const std::string &Digest);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_INTERNAL_ROWS_H
