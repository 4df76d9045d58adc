#ifndef CYCLAMENWALK_STORE_TYPES_TABLE_H
#define CYCLAMENWALK_STORE_TYPES_TABLE_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Identifies one row of the platform's table service.
struct RowKey {
  std::string m_Table;
  std::string m_Key;
  auto operator<=>(const RowKey &) const = default;
};

/// The contents of a row. The version grows with each write of the row.
struct Row {
  std::string m_Value;
  std::uint64_t m_Version = 0;
};

struct KeyedRow {
  std::string m_Key;
  Row m_Row;
};

/// A precondition of a transaction.
struct RowCondition {
  RowKey m_Row;
  /// The version that the row must have; empty when it must not exist.
  std::optional<std::uint64_t> m_Version;
};

struct RowWrite {
  RowKey m_Row;
  /// The new value; empty when the row is deleted.
  std::optional<std::string> m_Value;
};

/// Writes that take effect together, if all conditions hold.
struct Transaction {
  std::vector<RowCondition> m_Conditions;
  std::vector<RowWrite> m_Writes;
};

enum class StoreStatus {
  Ok,
  /// A condition did not hold; nothing was written.
  Conflict,
  /// No usable answer came; a write may have taken effect.
  Unavailable
};

struct TransactionResult {
  StoreStatus m_Status = StoreStatus::Ok;
  /// The rows whose conditions did not hold.
  std::vector<RowKey> m_Conflicts;
};

struct ReadResult {
  StoreStatus m_Status = StoreStatus::Ok;
  /// Empty when there is no such row.
  std::optional<Row> m_Row;
};

struct ScanResult {
  StoreStatus m_Status = StoreStatus::Ok;
  /// Ordered by key.
  std::vector<KeyedRow> m_Rows;
};

struct ObjectResult {
  StoreStatus m_Status = StoreStatus::Ok;
  /// Empty when there is no such object.
  std::optional<std::string> m_Bytes;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STORE_TYPES_TABLE_H
