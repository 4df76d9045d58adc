#ifndef CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYSELECTION_H
#define CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYSELECTION_H

#include "membership/membershipmodule.h"

#include <functional>
#include <set>

namespace cyclamenwalk {

/// Selects entries by rendezvous hashing, so that a change of the list moves
/// few links.
class EntrySelection final : public IEntrySelection {
public:
  /// Reads the entries from the store and calls setEntries().
  using LookupHook = std::function<void()>;

  EntrySelection(SelectionSettings Settings, ILinks &Links,
                 ITimerService &Timers, LookupHook LookUpEntries);
  ~EntrySelection() override;

  void start() override;
  void setEntries(std::vector<EntryAddress> Entries) override;
  void linkUp(Incarnation Entry) override;
  void linkDown(Incarnation Entry) override;
  const std::vector<EntryAddress> &entries() const override;

private:
  void check();
  std::vector<EntryAddress> selectEntries() const;

  const SelectionSettings m_Settings;
  ILinks &m_Links;
  ITimerService &m_Timers;
  const LookupHook m_LookUpEntries;
  std::vector<EntryAddress> m_Entries;
  std::set<Incarnation> m_Linked;
  TimerId m_Timer = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYSELECTION_H
