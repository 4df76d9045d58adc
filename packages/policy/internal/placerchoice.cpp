#include "policy/types/placerchoice.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

using Candidates = std::vector<const PlacerView *>;

Candidates usablePlacers(const std::vector<PlacerView> &Placers,
                         const PlacerQuery &Query) {
  Candidates Usable;
  for (const PlacerView &Placer : Placers)
    if (!Query.m_RequiresRoom || Placer.m_FreeMilliCores >= Query.m_MilliCores)
      Usable.push_back(&Placer);
  return Usable;
}

/// Drops the placers that don't see the rack, if any does.
void preferRack(Candidates &Usable) {
  auto SeesRack = [](const PlacerView *Placer) { return Placer->m_SeesRack; };
  if (std::any_of(Usable.begin(), Usable.end(), SeesRack))
    std::erase_if(Usable, std::not_fn(SeesRack));
}

} // namespace

std::optional<Incarnation> choosePlacer(const std::vector<PlacerView> &Placers,
                                        const PlacerQuery &Query) {
  Candidates Usable = usablePlacers(Placers, Query);
  if (Query.m_NamesRack)
    preferRack(Usable);
  if (Usable.empty())
    return std::nullopt;
  for (const PlacerView *Placer : Usable)
    if (Placer->m_IsSelf && Placer->m_FreeMilliCores >= Query.m_MilliCores)
      return Placer->m_Entry;
  const PlacerView *First = Usable[Query.m_FirstRandom % Usable.size()];
  const PlacerView *Second = Usable[Query.m_SecondRandom % Usable.size()];
  return First->m_FreeMilliCores >= Second->m_FreeMilliCores ? First->m_Entry
                                                             : Second->m_Entry;
}

std::optional<Incarnation>
choosePlacerLocally(const std::vector<PlacerView> &Placers,
                    const PlacerQuery &) {
  for (const PlacerView &Placer : Placers)
    if (Placer.m_IsSelf)
      return Placer.m_Entry;
  return std::nullopt;
}

} // namespace cyclamenwalk
