#ifndef CYCLAMENWALK_SLOT_INTERNAL_CREDITALLOCATOR_H
#define CYCLAMENWALK_SLOT_INTERNAL_CREDITALLOCATOR_H

#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "membership/ilinks.h"
#include "slot/internal/lifecycles.h"
#include "slot/types/entrychoice.h"

#include <map>
#include <unordered_map>

namespace cyclamenwalk {

/// Issues credits to entries according to their demand, and withdraws them.
class CreditAllocator {
public:
  /// Fires the withdrawal in the chart of a credit.
  using WithdrawHook = std::function<void(IssuedCredit &)>;

  CreditAllocator(SlotSettings Settings, EntryChoice ChooseEntry,
                  WithdrawHook OnWithdraw, ILinks &Links, ITimerService &Timers,
                  IMetrics &Metrics);

  void addEntry(Incarnation Entry);
  void removeEntry(Incarnation Entry);
  void setDemand(Incarnation Entry, const Demand &StatedDemand);

  /// Issues \p Free credits, of which up to \p FreeLong allow long tasks, and
  /// sends them to the entries. The credits of \p PreviousHolder are returned
  /// instead, to be sent with a task's result.
  std::vector<Credit> distribute(std::uint32_t Free, std::uint32_t FreeLong,
                                 Incarnation PreviousHolder);

  /// Withdraws credits from entries without demand, for \p Entry. Returns the
  /// number of withdrawn credits.
  std::uint32_t reclaimFor(Incarnation Entry);

  /// Withdraws up to \p Count credits, the latest first.
  void withdraw(std::uint32_t Count);
  void withdrawAll();

  /// Returns the credit \p Id if \p Entry holds it, or else null.
  IssuedCredit *find(Incarnation Entry, CreditId Id);

  /// Removes a credit without telling its entry.
  void erase(CreditId Id);

  std::uint32_t issuedCount() const;
  std::uint32_t issuedLongCount() const;

private:
  struct Holder {
    std::uint32_t m_Credits = 0;
    std::uint32_t m_Waiting = 0;
    TimePoint m_OrderKey;
    TimePoint m_DemandStatedAt;
  };
  using CreditIds = std::map<Incarnation, std::vector<CreditId>>;

  std::uint32_t waitingTasks(const Holder &Entry) const;
  Incarnation chooseEntry(Incarnation PreviousHolder) const;
  Credit issueCredit(Incarnation Entry, bool AllowsLong);
  void withdrawCredit(CreditId Id, CreditIds &Withdrawn);
  void sendWithdrawals(CreditIds &Withdrawn);

  const SlotSettings m_Settings;
  const EntryChoice m_ChooseEntry;
  const WithdrawHook m_OnWithdraw;
  ILinks &m_Links;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  std::map<Incarnation, Holder> m_Holders;
  std::map<CreditId, IssuedCredit> m_Credits;
  std::uint32_t m_IssuedLongCount = 0;
  std::uint64_t m_LastCreditId = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_INTERNAL_CREDITALLOCATOR_H
