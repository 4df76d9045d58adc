#ifndef CYCLAMENWALK_MEMBERSHIP_MEMBERSPREAD_H
#define CYCLAMENWALK_MEMBERSHIP_MEMBERSPREAD_H

#include "core/itimerservice.h"
#include "membership/ilinks.h"
#include "membership/types/placers.h"

#include <memory>

namespace cyclamenwalk {

/// Tells the linked processes which members there are: agents the placers,
/// entries the members that are new. For many members that change at the same
/// time, as at a start of the whole fleet, changes are collected and only
/// differences are sent.
class MemberSpread {
public:
  struct Settings {
    /// How long changes are collected before they are sent.
    Duration m_CollectDelay = milliseconds(200);
    PlacerSelection m_SelectPlacers = selectLargeEntries;
  };

  MemberSpread(Settings SpreadSettings, ILinks &Links, ITimerService &Timers);
  ~MemberSpread();

  /// Sends the current list to a process whose link has come up.
  void peerUp(const Peer &Other);
  void peerDown(const Peer &Other);

  /// Replaces the members, this entry included.
  void setMembers(std::vector<EntryAddress> Members);

  /// From now on the members that were set are all there are.
  void setComplete();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_MEMBERSPREAD_H
