#ifndef CYCLAMENWALK_MEMBERSHIP_TYPES_ENTRYROW_H
#define CYCLAMENWALK_MEMBERSHIP_TYPES_ENTRYROW_H

#include "message/types/messages.h"

#include <functional>
#include <optional>
#include <string>

namespace cyclamenwalk {

/// The lease row of an entry in the platform's table service.
struct EntryRow {
  EntryAddress m_Address;
  /// Grows with each renewal. A row whose count stands still has lapsed, so
  /// that the clocks of two machines are never compared.
  std::uint64_t m_Renewals = 0;
};

/// How rows are written; given by the wiring, so that this package knows no
/// encoding.
struct EntryRowCodec {
  std::function<std::string(const EntryRow &)> m_Encode;
  /// Empty for a value that cannot be read.
  std::function<std::optional<EntryRow>(const std::string &)> m_Decode;
};

struct RegistrySettings {
  Duration m_RenewPeriod = seconds(2);
  /// An entry is no member once its row stood still for this time.
  Duration m_Lapse = seconds(10);
  /// The row of a lapsed entry is deleted after this time.
  Duration m_DeleteAfter = seconds(60);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TYPES_ENTRYROW_H
