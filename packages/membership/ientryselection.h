#ifndef CYCLAMENWALK_MEMBERSHIP_IENTRYSELECTION_H
#define CYCLAMENWALK_MEMBERSHIP_IENTRYSELECTION_H

#include "message/types/messages.h"

#include <string>
#include <vector>

namespace cyclamenwalk {

/// Selects a subset of the entries and keeps an agent linked to it.
class IEntrySelection {
public:
  virtual ~IEntrySelection() = default;

  /// Starts to open links and to reopen those that go down.
  virtual void start() = 0;

  /// Replaces the list of entries by one that an entry or the store provided.
  virtual void setEntries(std::vector<EntryAddress> Entries) = 0;

  virtual void linkUp(Incarnation Entry) = 0;
  virtual void linkDown(Incarnation Entry) = 0;

  virtual const std::vector<EntryAddress> &entries() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_IENTRYSELECTION_H
