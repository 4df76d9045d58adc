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
  /// Incremented by each renewal. Readers detect an expired lease by a count
  /// that stops changing, so the clocks of two machines are never compared.
  std::uint64_t m_Renewals = 0;
};

/// Encodes and decodes lease rows. Passed in, so that this package does not
/// depend on an encoding.
struct EntryRowCodec {
  std::function<std::string(const EntryRow &)> m_Encode;
  /// Empty when the value is malformed.
  std::function<std::optional<EntryRow>(const std::string &)> m_Decode;
};

struct RegistrySettings {
  Duration m_RenewPeriod = seconds(2);
  /// An entry stops being a member when its row is not renewed for this time.
  Duration m_LeaseTimeout = seconds(10);
  /// The row of an entry is deleted when it is not renewed for this time.
  Duration m_DeletionDelay = seconds(60);
  /// The rows are read no more often than this.
  Duration m_MinScanInterval = seconds(1);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TYPES_ENTRYROW_H
