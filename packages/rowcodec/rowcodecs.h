#ifndef CYCLAMENWALK_ROWCODEC_ROWCODECS_H
#define CYCLAMENWALK_ROWCODEC_ROWCODECS_H

#include "configuration/types/configurationrecord.h"
#include "membership/types/entryrow.h"
#include "request/types/submission.h"
#include "store/types/table.h"

#include <vector>

namespace cyclamenwalk {

/// Codecs for rows of the platform's table service, whose values are JSON.
EntryRowCodec entryRowCodec();
RecordCodec configurationRecordCodec();
ClaimRowCodec claimRowCodec();

/// The entries in the rows of \p Scan, without malformed rows.
std::vector<EntryAddress> decodeEntryRows(const ScanResult &Scan);

std::string encodeEntries(const std::vector<EntryAddress> &Entries);

/// The inverse of encodeEntries; empty when \p Body is malformed.
std::vector<EntryAddress> decodeEntries(const std::string &Body);

/// Formats \p Time in UTC as RFC 3339 specifies.
std::string formatRfc3339(WallTime Time);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ROWCODEC_ROWCODECS_H
