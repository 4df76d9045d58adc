#include "slot/types/entrychoice.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// What another entry must be ahead of the finisher to get the slot.
constexpr Duration KeyAdvantage = milliseconds(10);
constexpr std::uint32_t CreditAdvantage = 2;

bool isMoreUrgent(const EntryView &Left, const EntryView &Right) {
  bool LeftWaits = Left.m_Waiting > 0;
  bool RightWaits = Right.m_Waiting > 0;
  if (LeftWaits != RightWaits)
    return LeftWaits;
  if (LeftWaits && Left.m_Key != Right.m_Key)
    return Left.m_Key < Right.m_Key;
  return Left.m_Credits < Right.m_Credits;
}

bool isClearlyMoreUrgent(const EntryView &Left, const EntryView &Right) {
  if ((Left.m_Waiting > 0) != (Right.m_Waiting > 0))
    return Left.m_Waiting > 0;
  if (Left.m_Waiting > 0)
    return Left.m_Key + KeyAdvantage < Right.m_Key;
  return Left.m_Credits + CreditAdvantage <= Right.m_Credits;
}

} // namespace

std::size_t chooseByDemand(const std::vector<EntryView> &Entries) {
  auto Best = std::min_element(Entries.begin(), Entries.end(), isMoreUrgent);
  auto Finisher =
      std::find_if(Entries.begin(), Entries.end(),
                   [](const EntryView &Known) { return Known.m_IsFinisher; });
  bool IsKept =
      Finisher != Entries.end() && !isClearlyMoreUrgent(*Best, *Finisher);
  return static_cast<std::size_t>((IsKept ? Finisher : Best) - Entries.begin());
}

} // namespace cyclamenwalk
