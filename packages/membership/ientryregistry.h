#ifndef CYCLAMENWALK_MEMBERSHIP_IENTRYREGISTRY_H
#define CYCLAMENWALK_MEMBERSHIP_IENTRYREGISTRY_H

#include "membership/types/entryrow.h"

#include <vector>

namespace cyclamenwalk {

/// The entries that are members, by their lease rows.
class IEntryRegistry {
public:
  using Changed = std::function<void(const std::vector<EntryAddress> &)>;

  virtual ~IEntryRegistry() = default;

  /// Starts to renew the own row and to read those of others.
  virtual void start(Changed Hook) = 0;

  /// Deletes the own row, so that agents are told to go elsewhere.
  virtual void leave() = 0;

  /// An entry has said itself where it is, which goes before its row.
  virtual void hear(const EntryAddress &Speaker) = 0;

  /// Adds members that a peer named, for when the store is down. What is known
  /// and has not lapsed goes before it.
  virtual void learn(const std::vector<EntryAddress> &Members) = 0;

  /// All members with this one, in ascending order of incarnation.
  virtual std::vector<EntryAddress> members() const = 0;

  /// Whether the store answered the last renewal.
  virtual bool isStoreAnswering() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_IENTRYREGISTRY_H
