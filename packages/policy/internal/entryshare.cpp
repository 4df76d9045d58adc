#include "policy/types/entryshare.h"

#include <algorithm>

namespace cyclamenwalk {

std::uint32_t shareOfQuota(std::uint32_t Quota, const EntryShare &Share) {
  auto Entries =
      static_cast<std::uint32_t>(std::max<std::size_t>(1, Share.m_Entries));
  std::uint32_t Part = Quota / Entries;
  if (Share.m_Rank < Quota % Entries)
    ++Part;
  return std::max<std::uint32_t>(1, Part);
}

} // namespace cyclamenwalk
