#include "slot/internal/creditallocator.h"

#include <algorithm>

namespace cyclamenwalk {

CreditAllocator::CreditAllocator(SlotSettings Settings, EntryChoice ChooseEntry,
                                 WithdrawHook OnWithdraw, ILinks &Links,
                                 ITimerService &Timers, IMetrics &Metrics)
    : m_Settings(Settings), m_ChooseEntry(std::move(ChooseEntry)),
      m_OnWithdraw(std::move(OnWithdraw)), m_Links(Links), m_Timers(Timers),
      m_Metrics(Metrics) {}

void CreditAllocator::addEntry(Incarnation Entry) { m_Holders[Entry] = {}; }

void CreditAllocator::removeEntry(Incarnation Entry) {
  m_Holders.erase(Entry);
  std::erase_if(m_Credits, [&](const auto &Item) {
    bool IsHeldByEntry = Item.second.m_Entry == Entry;
    if (IsHeldByEntry && Item.second.m_AllowsLongTasks)
      --m_IssuedLongCount;
    return IsHeldByEntry;
  });
}

void CreditAllocator::setDemand(Incarnation Entry, const Demand &StatedDemand) {
  auto It = m_Holders.find(Entry);
  if (It == m_Holders.end())
    return;
  It->second.m_Waiting = StatedDemand.m_Waiting;
  It->second.m_OrderKey = m_Timers.now() + StatedDemand.m_FirstOrderWithin;
  It->second.m_DemandStatedAt = m_Timers.now();
}

std::uint32_t CreditAllocator::waitingTasks(const Holder &Entry) const {
  bool IsValid =
      m_Timers.now() - Entry.m_DemandStatedAt <= m_Settings.m_DemandLifetime;
  return IsValid ? Entry.m_Waiting : 0;
}

Incarnation CreditAllocator::chooseEntry(Incarnation PreviousHolder) const {
  std::vector<EntryCandidate> Candidates;
  Candidates.reserve(m_Holders.size());
  for (const auto &Item : m_Holders)
    Candidates.push_back({Item.first, waitingTasks(Item.second),
                          Item.second.m_OrderKey, Item.second.m_Credits,
                          Item.first == PreviousHolder});
  return Candidates[m_ChooseEntry(Candidates)].m_Entry;
}

Credit CreditAllocator::issueCredit(Incarnation Entry, bool AllowsLong) {
  IssuedCredit Issued;
  Issued.m_Id = CreditId{++m_LastCreditId};
  Issued.m_Entry = Entry;
  Issued.m_AllowsLongTasks = AllowsLong;
  Issued.m_IssuedAt = m_Timers.now();
  m_Credits.emplace(Issued.m_Id, Issued);
  Holder &Recipient = m_Holders.at(Entry);
  ++Recipient.m_Credits;
  if (Recipient.m_Waiting > 0)
    --Recipient.m_Waiting;
  if (AllowsLong)
    ++m_IssuedLongCount;
  m_Metrics.count(Metric::CreditsGranted);
  return {Issued.m_Id, AllowsLong};
}

std::vector<Credit> CreditAllocator::distribute(std::uint32_t Free,
                                                std::uint32_t FreeLong,
                                                Incarnation PreviousHolder) {
  if (m_Holders.empty())
    return {};
  std::map<Incarnation, std::vector<Credit>> Granted;
  for (std::uint32_t I = 0; I < Free; ++I) {
    Incarnation Entry = chooseEntry(PreviousHolder);
    Granted[Entry].push_back(issueCredit(Entry, I < FreeLong));
  }
  std::vector<Credit> PreviousHolderCredits;
  for (auto &Item : Granted) {
    if (Item.first == PreviousHolder)
      PreviousHolderCredits = std::move(Item.second);
    else
      m_Links.send(Item.first, CreditGrant{std::move(Item.second)});
  }
  return PreviousHolderCredits;
}

std::uint32_t CreditAllocator::reclaimFor(Incarnation Entry) {
  auto Recipient = m_Holders.find(Entry);
  if (Recipient == m_Holders.end())
    return 0;
  std::uint32_t MaxReclaimed = waitingTasks(Recipient->second);
  // An entry without demand loses half of its credits at most.
  std::map<Incarnation, std::uint32_t> Withdrawable;
  for (const auto &Item : m_Holders)
    if (Item.first != Entry && waitingTasks(Item.second) == 0)
      Withdrawable[Item.first] = (Item.second.m_Credits + 1) / 2;
  std::vector<CreditId> Reclaimed;
  for (const auto &Item : m_Credits) {
    const IssuedCredit &Candidate = Item.second;
    bool IsOldEnough =
        m_Timers.now() - Candidate.m_IssuedAt >= m_Settings.m_MinCreditAge;
    auto Remaining = Withdrawable.find(Candidate.m_Entry);
    if (Reclaimed.size() >= MaxReclaimed || Remaining == Withdrawable.end())
      continue;
    if (!IsOldEnough || Remaining->second == 0)
      continue;
    --Remaining->second;
    Reclaimed.push_back(Item.first);
  }
  CreditIds Withdrawn;
  for (CreditId Id : Reclaimed)
    withdrawCredit(Id, Withdrawn);
  sendWithdrawals(Withdrawn);
  return static_cast<std::uint32_t>(Reclaimed.size());
}

void CreditAllocator::withdraw(std::uint32_t Count) {
  CreditIds Withdrawn;
  for (; Count > 0 && !m_Credits.empty(); --Count)
    withdrawCredit(m_Credits.rbegin()->first, Withdrawn);
  sendWithdrawals(Withdrawn);
}

void CreditAllocator::withdrawAll() { withdraw(issuedCount()); }

void CreditAllocator::withdrawCredit(CreditId Id, CreditIds &Withdrawn) {
  IssuedCredit &Issued = m_Credits.at(Id);
  m_OnWithdraw(Issued);
  Withdrawn[Issued.m_Entry].push_back(Id);
  m_Metrics.count(Metric::CreditsWithdrawn);
  erase(Id);
}

void CreditAllocator::sendWithdrawals(CreditIds &Withdrawn) {
  for (auto &Item : Withdrawn)
    m_Links.send(Item.first, CreditWithdraw{std::move(Item.second)});
}

IssuedCredit *CreditAllocator::find(Incarnation Entry, CreditId Id) {
  auto It = m_Credits.find(Id);
  if (It == m_Credits.end() || It->second.m_Entry != Entry)
    return nullptr;
  return &It->second;
}

void CreditAllocator::erase(CreditId Id) {
  auto It = m_Credits.find(Id);
  if (It == m_Credits.end())
    return;
  auto Owner = m_Holders.find(It->second.m_Entry);
  if (Owner != m_Holders.end())
    --Owner->second.m_Credits;
  if (It->second.m_AllowsLongTasks)
    --m_IssuedLongCount;
  m_Credits.erase(It);
}

std::uint32_t CreditAllocator::issuedCount() const {
  return static_cast<std::uint32_t>(m_Credits.size());
}

std::uint32_t CreditAllocator::issuedLongCount() const {
  return m_IssuedLongCount;
}

} // namespace cyclamenwalk
