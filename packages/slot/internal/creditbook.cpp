#include "slot/internal/creditbook.h"

#include <algorithm>

namespace cyclamenwalk {

CreditBook::CreditBook(SlotSettings Settings, EntryChoice Choose,
                       WithdrawHook OnWithdraw, ILinks &Links,
                       ITimerService &Timers, IMetrics &Metrics)
    : m_Settings(Settings), m_Choose(std::move(Choose)),
      m_OnWithdraw(std::move(OnWithdraw)), m_Links(Links), m_Timers(Timers),
      m_Metrics(Metrics) {}

void CreditBook::addEntry(Incarnation Entry) { m_Holders[Entry] = {}; }

void CreditBook::removeEntry(Incarnation Entry) {
  m_Holders.erase(Entry);
  std::erase_if(m_Credits, [&](const auto &Known) {
    bool IsItsOwn = Known.second.m_Entry == Entry;
    if (IsItsOwn && Known.second.m_AllowsLong)
      --m_LongOut;
    return IsItsOwn;
  });
}

void CreditBook::setDemand(Incarnation Entry, const Demand &Stated) {
  auto Found = m_Holders.find(Entry);
  if (Found == m_Holders.end())
    return;
  Found->second.m_Waiting = Stated.m_Waiting;
  Found->second.m_Key = m_Timers.now() + Stated.m_Urgency;
  Found->second.m_StatedAt = m_Timers.now();
}

std::uint32_t CreditBook::waitingOf(const Holder &Known) const {
  bool IsFresh =
      m_Timers.now() - Known.m_StatedAt <= m_Settings.m_DemandLifetime;
  return IsFresh ? Known.m_Waiting : 0;
}

Incarnation CreditBook::chooseEntry(Incarnation Finisher) const {
  std::vector<EntryView> Views;
  Views.reserve(m_Holders.size());
  for (const auto &Known : m_Holders)
    Views.push_back({Known.first, waitingOf(Known.second), Known.second.m_Key,
                     Known.second.m_Credits, Known.first == Finisher});
  return Views[m_Choose(Views)].m_Entry;
}

Credit CreditBook::issue(Incarnation Entry, bool AllowsLong) {
  IssuedCredit Issued;
  Issued.m_Id = CreditId{++m_LastCredit};
  Issued.m_Entry = Entry;
  Issued.m_AllowsLong = AllowsLong;
  Issued.m_IssuedAt = m_Timers.now();
  m_Credits.emplace(Issued.m_Id, Issued);
  Holder &Known = m_Holders.at(Entry);
  ++Known.m_Credits;
  if (Known.m_Waiting > 0)
    --Known.m_Waiting;
  if (AllowsLong)
    ++m_LongOut;
  m_Metrics.count(Metric::CreditsGranted);
  return {Issued.m_Id, AllowsLong};
}

std::vector<Credit> CreditBook::distribute(std::uint32_t Free,
                                           std::uint32_t FreeLong,
                                           Incarnation Finisher) {
  if (m_Holders.empty())
    return {};
  std::map<Incarnation, std::vector<Credit>> Granted;
  for (std::uint32_t I = 0; I < Free; ++I) {
    Incarnation Entry = chooseEntry(Finisher);
    Granted[Entry].push_back(issue(Entry, I < FreeLong));
  }
  std::vector<Credit> ForFinisher;
  for (auto &Known : Granted) {
    if (Known.first == Finisher)
      ForFinisher = std::move(Known.second);
    else
      m_Links.send(Known.first, CreditGrant{std::move(Known.second)});
  }
  return ForFinisher;
}

std::uint32_t CreditBook::reclaimFor(Incarnation Entry) {
  auto Found = m_Holders.find(Entry);
  if (Found == m_Holders.end())
    return 0;
  std::uint32_t Wanted = waitingOf(Found->second);
  std::map<Incarnation, std::uint32_t> Takeable;
  for (const auto &Known : m_Holders)
    if (Known.first != Entry && waitingOf(Known.second) == 0)
      Takeable[Known.first] = (Known.second.m_Credits + 1) / 2;
  std::vector<CreditId> Chosen;
  for (const auto &Known : m_Credits) {
    const IssuedCredit &Idle = Known.second;
    bool IsOld = m_Timers.now() - Idle.m_IssuedAt >= m_Settings.m_MinCreditAge;
    auto Left = Takeable.find(Idle.m_Entry);
    if (Chosen.size() >= Wanted || Left == Takeable.end())
      continue;
    if (!IsOld || Left->second == 0)
      continue;
    --Left->second;
    Chosen.push_back(Known.first);
  }
  CreditIds Withdrawn;
  for (CreditId Id : Chosen)
    withdrawOne(Id, Withdrawn);
  announceWithdrawn(Withdrawn);
  return static_cast<std::uint32_t>(Chosen.size());
}

void CreditBook::withdraw(std::uint32_t Count) {
  CreditIds Withdrawn;
  for (; Count > 0 && !m_Credits.empty(); --Count)
    withdrawOne(m_Credits.rbegin()->first, Withdrawn);
  announceWithdrawn(Withdrawn);
}

void CreditBook::withdrawAll() { withdraw(out()); }

void CreditBook::withdrawOne(CreditId Id, CreditIds &Withdrawn) {
  IssuedCredit &Known = m_Credits.at(Id);
  m_OnWithdraw(Known);
  Withdrawn[Known.m_Entry].push_back(Id);
  m_Metrics.count(Metric::CreditsWithdrawn);
  erase(Id);
}

void CreditBook::announceWithdrawn(CreditIds &Withdrawn) {
  for (auto &Known : Withdrawn)
    m_Links.send(Known.first, CreditWithdraw{std::move(Known.second)});
}

IssuedCredit *CreditBook::find(Incarnation Entry, CreditId Id) {
  auto Found = m_Credits.find(Id);
  if (Found == m_Credits.end() || Found->second.m_Entry != Entry)
    return nullptr;
  return &Found->second;
}

void CreditBook::erase(CreditId Id) {
  auto Found = m_Credits.find(Id);
  if (Found == m_Credits.end())
    return;
  auto Owner = m_Holders.find(Found->second.m_Entry);
  if (Owner != m_Holders.end())
    --Owner->second.m_Credits;
  if (Found->second.m_AllowsLong)
    --m_LongOut;
  m_Credits.erase(Found);
}

std::uint32_t CreditBook::out() const {
  return static_cast<std::uint32_t>(m_Credits.size());
}

std::uint32_t CreditBook::longOut() const { return m_LongOut; }

} // namespace cyclamenwalk
