#include "membership/types/placers.h"

#include <algorithm>
#include <iterator>

namespace cyclamenwalk {

std::vector<EntryAddress>
selectLargeEntries(const std::vector<EntryAddress> &Members) {
  std::uint32_t Largest = 0;
  for (const EntryAddress &Member : Members)
    Largest = std::max(Largest, Member.m_ProcessorMilliCores);
  std::vector<EntryAddress> Placers;
  std::copy_if(Members.begin(), Members.end(), std::back_inserter(Placers),
               [Largest](const EntryAddress &Member) {
                 return 2ULL * Member.m_ProcessorMilliCores >= Largest;
               });
  return Placers;
}

std::vector<EntryAddress>
selectAllEntries(const std::vector<EntryAddress> &Members) {
  return Members;
}

} // namespace cyclamenwalk
