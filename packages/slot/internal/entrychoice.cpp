#include "slot/types/entrychoice.h"

#include <algorithm>

namespace cyclamenwalk {

std::size_t chooseByDemand(const std::vector<EntryView> &Entries) {
  auto IsLessUrgent = [](const EntryView &Left, const EntryView &Right) {
    // Waiting tasks for each credit held, compared without division.
    std::uint64_t LeftNeed =
        std::uint64_t(Left.m_Waiting) * (Right.m_Credits + 1);
    std::uint64_t RightNeed =
        std::uint64_t(Right.m_Waiting) * (Left.m_Credits + 1);
    if (LeftNeed != RightNeed)
      return LeftNeed < RightNeed;
    return Left.m_Credits > Right.m_Credits;
  };
  auto Best = std::max_element(Entries.begin(), Entries.end(), IsLessUrgent);
  return static_cast<std::size_t>(Best - Entries.begin());
}

} // namespace cyclamenwalk
