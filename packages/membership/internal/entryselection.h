#ifndef CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYSELECTION_H
#define CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYSELECTION_H

#include "membership/membershipmodule.h"

#include <map>
#include <optional>

namespace cyclamenwalk {

/// Selects placers before other entries, each by rendezvous hashing on names,
/// so that a change of the list or a restart moves few links.
class EntrySelection final : public IEntrySelection {
public:
  EntrySelection(SelectionSettings Settings, SelectionHooks Hooks,
                 ILinks &Links, ITimerService &Timers);
  ~EntrySelection() override;

  void start() override;
  void setSeeds(std::vector<std::string> Seeds) override;
  void setEntries(std::vector<EntryAddress> Entries) override;
  void addEntries(const std::vector<EntryAddress> &Entries) override;
  void setGroup(const std::string &Group) override;
  void linkUp(const Peer &Entry) override;
  void linkDown(const Peer &Entry) override;
  void addressUnreachable(const std::string &Address) override;
  const std::vector<EntryAddress> &entries() const override;

private:
  struct Linked {
    Incarnation m_Entry;
    /// When the entry was no longer selected; empty while it is.
    std::optional<TimePoint> m_UnselectedSince;
    bool m_IsReleased = false;
  };

  struct Backoff {
    TimePoint m_Until;
    Duration m_Delay{};
    std::uint32_t m_Failures = 0;
  };

  void check();
  void connectToSeeds();
  std::vector<EntryAddress> rankEntries() const;
  std::vector<std::string> selectAddresses() const;
  bool isBackingOff(const std::string &Address) const;
  void releaseOthers(const std::vector<std::string> &Selected);
  void updateSelected(const std::vector<std::string> &Selected);

  SelectionSettings m_Settings;
  const SelectionHooks m_Hooks;
  ILinks &m_Links;
  ITimerService &m_Timers;
  std::string m_Group;
  std::vector<EntryAddress> m_Entries;
  /// Keyed by address.
  std::map<std::string, Linked> m_Linked;
  std::map<std::string, Backoff> m_Backoffs;
  TimerId m_Timer = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYSELECTION_H
