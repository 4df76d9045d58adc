#ifndef CYCLAMENWALK_CONFIGURATION_INTERNAL_ROWS_H
#define CYCLAMENWALK_CONFIGURATION_INTERNAL_ROWS_H

#include "store/types/table.h"

#include <cstdint>
#include <string>

namespace cyclamenwalk {

/// The row that names the accepted configuration.
RowKey headRow();

/// The audit row of \p Version. Keys sort by version.
RowKey auditRow(std::uint64_t Version);

/// The row that tells whether an apply was accepted.
RowKey applyRow(const std::string &ApplyId);

/// The object that holds the text with \p Digest.
std::string textObject(const std::string &Digest);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_INTERNAL_ROWS_H
