#ifndef CYCLAMENWALK_MEMBERSHIP_IENTRYREGISTRY_H
#define CYCLAMENWALK_MEMBERSHIP_IENTRYREGISTRY_H

#include "membership/types/entryrow.h"

#include <vector>

namespace cyclamenwalk {

/// The entries that are members, determined by their lease rows.
class IEntryRegistry {
public:
  using ChangeHook = std::function<void(const std::vector<EntryAddress> &)>;

  virtual ~IEntryRegistry() = default;

  /// Starts to renew the row of this entry and to read the rows of others.
  /// \p Hook gets the members when they change, and when isComplete() does.
  virtual void start(ChangeHook Hook) = 0;

  /// Deletes the row of this entry and removes it from members(), so that
  /// agents move to other entries.
  virtual void leave() = 0;

  /// Records an address announced by the entry itself, which takes precedence
  /// over the row.
  virtual void recordAnnouncement(const EntryAddress &Entry) = 0;

  /// Records that a link to \p Entry is up. Until recordLinkDown() it is a
  /// member whatever its row says, since the store can lose rows of entries
  /// that live.
  virtual void recordLinkUp(const EntryAddress &Entry) = 0;

  /// Records that the link is down. The entry remains a member for the lease
  /// time, as it may be reachable by others.
  virtual void recordLinkDown(const EntryAddress &Entry) = 0;

  /// Adds members that another entry listed, which is how members are found
  /// while the store is down. Records that have not expired take precedence.
  virtual void mergeMembers(const std::vector<EntryAddress> &Members) = 0;

  /// Records that the members which were merged last were all there are.
  virtual void recordCompleteList() = 0;

  /// Reads the rows at once, unless they were read recently.
  virtual void refresh() = 0;

  /// All members including this entry, in ascending order of incarnation.
  virtual std::vector<EntryAddress> members() const = 0;

  /// Whether members() has held all members there were at some time since the
  /// start: the rows were read, or another entry sent a complete list. False
  /// while an entry is no member only because the rows could not be read.
  virtual bool isComplete() const = 0;

  /// Whether the last renewal was written to the store.
  virtual bool isStoreAvailable() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_IENTRYREGISTRY_H
