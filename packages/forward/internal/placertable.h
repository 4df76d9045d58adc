#ifndef CYCLAMENWALK_FORWARD_INTERNAL_PLACERTABLE_H
#define CYCLAMENWALK_FORWARD_INTERNAL_PLACERTABLE_H

#include "message/types/messages.h"
#include "policy/types/placerchoice.h"

#include <map>
#include <set>

namespace cyclamenwalk {

/// What the linked entries last stated about the room of their workers, less
/// the jobs that were sent to them since.
class PlacerTable {
public:
  void update(Incarnation Entry, PlacerState State);
  void remove(Incarnation Entry) { m_Placers.erase(Entry); }

  /// Records that a job was sent there.
  void addJob(Incarnation Entry, const BatchSpec &Spec);

  /// The placers that have workers for the job, without \p Excluded.
  std::vector<PlacerView> views(const BatchSpec &Spec,
                                const std::set<Incarnation> &Excluded) const;

  /// Whether the entry is linked to workers.
  bool hasRooms(Incarnation Entry) const;

  /// Whether any entry accepts jobs.
  bool hasAccepting() const;

private:
  std::map<Incarnation, PlacerState> m_Placers;
};

/// The cores that all tasks of a job require, in thousandths.
std::int64_t totalMilliCores(const BatchSpec &Spec);

/// The room for \p Spec in \p Rooms; nullptr when no worker is of its service.
const ServiceRoom *findRoom(const std::vector<ServiceRoom> &Rooms,
                            const BatchSpec &Spec);

PlacerView makeView(Incarnation Entry, const ServiceRoom &Room,
                    const BatchSpec &Spec);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_INTERNAL_PLACERTABLE_H
