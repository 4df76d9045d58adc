#include "forward/internal/placertable.h"

#include <algorithm>

namespace cyclamenwalk {

void PlacerTable::update(Incarnation Entry, PlacerState State) {
  m_Placers[Entry] = std::move(State);
}

void PlacerTable::addJob(Incarnation Entry, const BatchSpec &Spec) {
  auto It = m_Placers.find(Entry);
  if (It == m_Placers.end())
    return;
  for (ServiceRoom &Room : It->second.m_Rooms)
    if (Room.m_Service == Spec.m_Service)
      Room.m_FreeMilliCores -= totalMilliCores(Spec);
}

std::vector<PlacerView>
PlacerTable::views(const BatchSpec &Spec,
                   const std::set<Incarnation> &Excluded) const {
  std::vector<PlacerView> Views;
  for (const auto &Item : m_Placers) {
    const ServiceRoom *Room = findRoom(Item.second.m_Rooms, Spec);
    if (Room && Item.second.m_IsAccepting && !Excluded.count(Item.first))
      Views.push_back(makeView(Item.first, *Room, Spec));
  }
  return Views;
}

bool PlacerTable::hasRooms(Incarnation Entry) const {
  auto It = m_Placers.find(Entry);
  return It != m_Placers.end() && !It->second.m_Rooms.empty();
}

bool PlacerTable::hasAccepting() const {
  return std::any_of(m_Placers.begin(), m_Placers.end(), [](const auto &Item) {
    return Item.second.m_IsAccepting && !Item.second.m_Rooms.empty();
  });
}

std::int64_t totalMilliCores(const BatchSpec &Spec) {
  return Spec.m_Required.m_MilliCores * std::int64_t(Spec.m_Tasks);
}

const ServiceRoom *findRoom(const std::vector<ServiceRoom> &Rooms,
                            const BatchSpec &Spec) {
  auto It = std::find_if(Rooms.begin(), Rooms.end(),
                         [&Spec](const ServiceRoom &Room) {
                           return Room.m_Service == Spec.m_Service;
                         });
  return It == Rooms.end() ? nullptr : &*It;
}

PlacerView makeView(Incarnation Entry, const ServiceRoom &Room,
                    const BatchSpec &Spec) {
  PlacerView View;
  View.m_Entry = Entry;
  View.m_FreeMilliCores = Room.m_FreeMilliCores;
  View.m_SeesRack = std::find(Room.m_Racks.begin(), Room.m_Racks.end(),
                              Spec.m_Rack) != Room.m_Racks.end();
  return View;
}

} // namespace cyclamenwalk
