#ifndef CYCLAMENWALK_MEMBERSHIP_IENTRYSELECTION_H
#define CYCLAMENWALK_MEMBERSHIP_IENTRYSELECTION_H

#include "membership/types/peer.h"

#include <string>
#include <vector>

namespace cyclamenwalk {

/// Selects a subset of the entries and keeps an agent linked to it.
class IEntrySelection {
public:
  virtual ~IEntrySelection() = default;

  /// Starts to open links and to reopen those that go down.
  virtual void start() = 0;

  /// Replaces the addresses to connect to while no link is up.
  virtual void setSeeds(std::vector<std::string> Seeds) = 0;

  /// Replaces the list of entries by one that an entry or the store provided.
  virtual void setEntries(std::vector<EntryAddress> Entries) = 0;

  /// Adds entries that another process knows, which may be few while that
  /// process starts. They are forgotten when they don't reply for long.
  virtual void addEntries(const std::vector<EntryAddress> &Entries) = 0;

  /// Agents of one group select the same entries, which then see all workers
  /// of the group. The group is the agent itself until it is set.
  virtual void setGroup(const std::string &Group) = 0;

  virtual void linkUp(const Peer &Entry) = 0;
  virtual void linkDown(const Peer &Entry) = 0;

  /// No reply came from \p Address; other entries are selected for a while.
  virtual void addressUnreachable(const std::string &Address) = 0;

  virtual const std::vector<EntryAddress> &entries() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_IENTRYSELECTION_H
