#ifndef CYCLAMENWALK_POLICY_TYPES_ENTRYSHARE_H
#define CYCLAMENWALK_POLICY_TYPES_ENTRYSHARE_H

#include <cstddef>
#include <cstdint>
#include <functional>

namespace cyclamenwalk {

/// The rank of this entry among the entries that divide quotas.
struct EntryShare {
  std::size_t m_Entries = 1;
  /// Zero-based, in an order on which all entries agree.
  std::size_t m_Rank = 0;
};

using EntryShareSource = std::function<EntryShare()>;

/// The part of a team's quota that this entry may use. The parts of all entries
/// add up to the quota, except that each is at least one: a quota below the
/// number of entries counts as that number.
std::uint32_t shareOfQuota(std::uint32_t Quota, const EntryShare &Share);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_ENTRYSHARE_H
