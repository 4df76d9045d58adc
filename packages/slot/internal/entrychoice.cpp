#include "slot/types/entrychoice.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// The lead over the previous holder that another entry needs to get the slot.
constexpr Duration MinOrderKeyLead = milliseconds(10);
constexpr std::uint32_t MinCreditLead = 2;

bool isMoreUrgent(const EntryCandidate &Left, const EntryCandidate &Right) {
  bool LeftHasWaiting = Left.m_Waiting > 0;
  bool RightHasWaiting = Right.m_Waiting > 0;
  if (LeftHasWaiting != RightHasWaiting)
    return LeftHasWaiting;
  if (LeftHasWaiting && Left.m_OrderKey != Right.m_OrderKey)
    return Left.m_OrderKey < Right.m_OrderKey;
  return Left.m_Credits < Right.m_Credits;
}

bool isClearlyMoreUrgent(const EntryCandidate &Left,
                         const EntryCandidate &Right) {
  if ((Left.m_Waiting > 0) != (Right.m_Waiting > 0))
    return Left.m_Waiting > 0;
  if (Left.m_Waiting > 0)
    return Left.m_OrderKey + MinOrderKeyLead < Right.m_OrderKey;
  return Left.m_Credits + MinCreditLead <= Right.m_Credits;
}

} // namespace

std::size_t chooseByDemand(const std::vector<EntryCandidate> &Candidates) {
  auto MostUrgent =
      std::min_element(Candidates.begin(), Candidates.end(), isMoreUrgent);
  auto PreviousHolder = std::find_if(Candidates.begin(), Candidates.end(),
                                     [](const EntryCandidate &Candidate) {
                                       return Candidate.m_IsPreviousHolder;
                                     });
  bool KeepsSlot = PreviousHolder != Candidates.end() &&
                   !isClearlyMoreUrgent(*MostUrgent, *PreviousHolder);
  return static_cast<std::size_t>((KeepsSlot ? PreviousHolder : MostUrgent) -
                                  Candidates.begin());
}

} // namespace cyclamenwalk
