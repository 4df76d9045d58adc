#ifndef CYCLAMENWALK_MEMBERSHIP_IENTRYSELECTION_H
#define CYCLAMENWALK_MEMBERSHIP_IENTRYSELECTION_H

#include "message/types/messages.h"

#include <string>
#include <vector>

namespace cyclamenwalk {

/// Keeps an agent linked to a subset of the entries.
class IEntrySelection {
public:
  virtual ~IEntrySelection() = default;

  /// Starts to open links and to replace those that go down.
  virtual void start() = 0;

  /// Replaces the list of entries by what an entry or the store says.
  virtual void offer(std::vector<EntryAddress> Entries) = 0;

  virtual void linkUp(Incarnation Entry) = 0;
  virtual void linkDown(Incarnation Entry) = 0;

  virtual const std::vector<EntryAddress> &known() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_IENTRYSELECTION_H
