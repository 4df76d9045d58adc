#ifndef CYCLAMENWALK_ROWCODEC_ROWCODECS_H
#define CYCLAMENWALK_ROWCODEC_ROWCODECS_H

#include "configuration/types/head.h"
#include "membership/types/entryrow.h"
#include "request/types/submission.h"
#include "store/types/table.h"

#include <vector>

namespace cyclamenwalk {

/// JSON values of the rows in the platform's table service.
EntryRowCodec entryRowCodec();
RecordCodec configurationRecordCodec();
ClaimRowCodec claimRowCodec();

/// The entries whose rows a scan found; rows that cannot be read are left out.
std::vector<EntryAddress> decodeEntryRows(const ScanResult &Found);

std::string encodeEntries(const std::vector<EntryAddress> &Entries);

/// Empty for what cannot be read.
std::vector<EntryAddress> decodeEntries(const std::string &Body);

/// \p At in UTC, as in RFC 3339.
std::string toText(WallTime At);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ROWCODEC_ROWCODECS_H
