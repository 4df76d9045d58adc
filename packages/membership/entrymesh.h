#ifndef CYCLAMENWALK_MEMBERSHIP_ENTRYMESH_H
#define CYCLAMENWALK_MEMBERSHIP_ENTRYMESH_H

#include "core/itimerservice.h"
#include "membership/ientryregistry.h"
#include "membership/ilinks.h"
#include "membership/types/placers.h"

#include <memory>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Keeps an entry linked to the other entries that it needs: the placers, and
/// for a placer all others.
class EntryMesh {
public:
  struct Settings {
    /// Addresses of entries that are linked to without being known as members.
    std::vector<std::string> m_Seeds;
    /// How often missing links are opened.
    Duration m_LinkPeriod = seconds(1);
    /// A link that was lost, or could not be opened, is opened again after this
    /// time: the entry may be back before its loss was noticed.
    Duration m_RelinkDelay = milliseconds(50);
    /// An entry counts as joined after this time even if members that it needs
    /// have not been linked, since they may be down.
    Duration m_MaxJoinTime = milliseconds(1500);
    PlacerSelection m_SelectPlacers = selectLargeEntries;
  };

  EntryMesh(EntryAddress Self, Settings MeshSettings, IEntryRegistry &Registry,
            ILinks &Links, ITimerService &Timers);
  ~EntryMesh();

  void start();

  /// Replaces the seeds. Links that are up stay.
  void setSeeds(const std::vector<std::string> &Seeds);

  /// Opens the links that are missing now.
  void linkEntries();

  void entryUp(const Peer &Entry);
  void entryDown(const Peer &Entry);
  void addressUnreachable(const std::string &Address);

  /// Whether all needed members were linked at some time since the start.
  bool hasJoined() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_ENTRYMESH_H
