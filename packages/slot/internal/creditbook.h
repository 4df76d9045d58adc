#ifndef CYCLAMENWALK_SLOT_INTERNAL_CREDITBOOK_H
#define CYCLAMENWALK_SLOT_INTERNAL_CREDITBOOK_H

#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "membership/ilinks.h"
#include "slot/internal/lifecycles.h"
#include "slot/types/entrychoice.h"

#include <map>
#include <unordered_map>

namespace cyclamenwalk {

/// The credits that are out, and the demand of the entries that hold them.
class CreditBook {
public:
  /// Takes a credit through its lifecycle when it is withdrawn.
  using WithdrawHook = std::function<void(IssuedCredit &)>;

  CreditBook(SlotSettings Settings, EntryChoice Choose, WithdrawHook OnWithdraw,
             ILinks &Links, ITimerService &Timers, IMetrics &Metrics);

  void addEntry(Incarnation Entry);
  void removeEntry(Incarnation Entry);
  void setDemand(Incarnation Entry, const Demand &Stated);

  /// Issues \p Free credits, of which \p FreeLong may be for long tasks, to
  /// the entries that need them most. What goes to \p Finisher is returned
  /// instead of sent, for its message.
  std::vector<Credit> distribute(std::uint32_t Free, std::uint32_t FreeLong,
                                 Incarnation Finisher);

  /// Takes idle credits back from entries without demand, for \p Entry.
  /// Returns how many.
  std::uint32_t reclaimFor(Incarnation Entry);

  /// Takes back up to \p Count credits, the newest first.
  void withdraw(std::uint32_t Count);
  void withdrawAll();

  /// The credit \p Id if \p Entry holds it.
  IssuedCredit *find(Incarnation Entry, CreditId Id);

  /// Forgets a credit that has been used.
  void erase(CreditId Id);

  std::uint32_t out() const;
  std::uint32_t longOut() const;

private:
  struct Holder {
    std::uint32_t m_Credits = 0;
    std::uint32_t m_Waiting = 0;
    TimePoint m_Key;
    TimePoint m_StatedAt;
  };
  using CreditIds = std::map<Incarnation, std::vector<CreditId>>;

  std::uint32_t waitingOf(const Holder &Known) const;
  Incarnation chooseEntry(Incarnation Finisher) const;
  Credit issue(Incarnation Entry, bool AllowsLong);
  void withdrawOne(CreditId Id, CreditIds &Withdrawn);
  void announceWithdrawn(CreditIds &Withdrawn);

  const SlotSettings m_Settings;
  const EntryChoice m_Choose;
  const WithdrawHook m_OnWithdraw;
  ILinks &m_Links;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  std::map<Incarnation, Holder> m_Holders;
  std::map<CreditId, IssuedCredit> m_Credits;
  std::uint32_t m_LongOut = 0;
  std::uint64_t m_LastCredit = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_INTERNAL_CREDITBOOK_H
