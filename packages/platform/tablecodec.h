#ifndef CYCLAMENWALK_PLATFORM_TABLECODEC_H
#define CYCLAMENWALK_PLATFORM_TABLECODEC_H

#include "platform/types/table.h"

#include <string>

namespace cyclamenwalk {

/// JSON bodies of the platform's HTTP protocol (docs/PLATFORM.md). The
/// decoding functions throw Error with StoreMalformed.
std::string encodeTransaction(const Transaction &Value);
Transaction decodeTransaction(const std::string &Body);

std::string encodeConflicts(const std::vector<RowKey> &Rows);
std::vector<RowKey> decodeConflicts(const std::string &Body);

std::string encodeRow(const Row &Value);
Row decodeRow(const std::string &Body);

std::string encodeRows(const std::vector<KeyedRow> &Values);
std::vector<KeyedRow> decodeRows(const std::string &Body);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PLATFORM_TABLECODEC_H
