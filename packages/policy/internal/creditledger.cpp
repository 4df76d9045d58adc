#include "policy/internal/creditledger.h"

#include <algorithm>

namespace cyclamenwalk {

CreditLedger::CreditLedger(WorkerScore Score) : m_Score(std::move(Score)) {}

void CreditLedger::add(Incarnation Id, const Credit &Granted) {
  Agent &Owner = m_Agents[Id];
  removeFromReady(Id, Owner);
  CreditClass Class =
      Granted.m_AllowsLongTasks ? CreditClass::Any : CreditClass::ShortOnly;
  Owner.m_Credits[static_cast<std::size_t>(Class)].push_back(Granted.m_Id);
  ++m_UnspentCredits;
  addToReady(Id, Owner);
}

void CreditLedger::withdraw(Incarnation Id, CreditId Withdrawn) {
  auto It = m_Agents.find(Id);
  if (It == m_Agents.end())
    return;
  Agent &Owner = It->second;
  removeFromReady(Id, Owner);
  for (auto &Credits : Owner.m_Credits)
    m_UnspentCredits -=
        static_cast<std::uint32_t>(std::erase(Credits, Withdrawn));
  addToReady(Id, Owner);
}

void CreditLedger::removeAgent(Incarnation Id) {
  auto It = m_Agents.find(Id);
  if (It == m_Agents.end())
    return;
  Agent &Removed = It->second;
  removeFromReady(Id, Removed);
  for (const auto &Credits : Removed.m_Credits)
    m_UnspentCredits -= static_cast<std::uint32_t>(Credits.size());
  m_InFlight -= Removed.m_InFlight;
  m_Agents.erase(It);
}

void CreditLedger::setLimit(Incarnation Id, std::uint32_t Limit) {
  auto It = m_Agents.find(Id);
  if (It == m_Agents.end())
    return;
  removeFromReady(Id, It->second);
  It->second.m_Limit = Limit;
  addToReady(Id, It->second);
}

bool CreditLedger::hasLongTaskCredit() const {
  return !m_ReadyAgents[static_cast<std::size_t>(CreditClass::Any)].empty();
}

bool CreditLedger::hasCredit() const {
  return hasLongTaskCredit() ||
         !m_ReadyAgents[static_cast<std::size_t>(CreditClass::ShortOnly)]
              .empty();
}

std::optional<AgentCredit> CreditLedger::take(bool IsLong) {
  const auto &ShortOnly =
      m_ReadyAgents[static_cast<std::size_t>(CreditClass::ShortOnly)];
  CreditClass Class =
      IsLong || ShortOnly.empty() ? CreditClass::Any : CreditClass::ShortOnly;
  auto &Ready = m_ReadyAgents[static_cast<std::size_t>(Class)];
  if (Ready.empty())
    return std::nullopt;
  Incarnation Id = std::get<Incarnation>(*Ready.begin());
  Agent &Owner = m_Agents.at(Id);
  removeFromReady(Id, Owner);
  auto &Credits = Owner.m_Credits[static_cast<std::size_t>(Class)];
  // Takes the oldest credit, as the agent is most likely to withdraw that one.
  AgentCredit Taken{Id, Credits.front()};
  Credits.pop_front();
  --m_UnspentCredits;
  Owner.m_LastTake = ++m_TakeCount;
  ++Owner.m_InFlight;
  ++m_InFlight;
  addToReady(Id, Owner);
  return Taken;
}

void CreditLedger::taskEnded(Incarnation Id) {
  auto It = m_Agents.find(Id);
  if (It == m_Agents.end() || It->second.m_InFlight == 0)
    return;
  removeFromReady(Id, It->second);
  --It->second.m_InFlight;
  --m_InFlight;
  addToReady(Id, It->second);
}

std::uint32_t CreditLedger::unspentCredits() const { return m_UnspentCredits; }

std::uint32_t CreditLedger::inFlight() const { return m_InFlight; }

void CreditLedger::removeFromReady(Incarnation Id, const Agent &Owner) {
  for (auto &Ready : m_ReadyAgents)
    Ready.erase(AgentRank(Owner.m_Score, Owner.m_LastTake, Id));
}

void CreditLedger::addToReady(Incarnation Id, Agent &Owner) {
  if (Owner.m_InFlight >= Owner.m_Limit)
    return;
  Owner.m_Score = m_Score({Id, Owner.m_InFlight});
  for (std::size_t Class = 0; Class < CreditClassCount; ++Class)
    if (!Owner.m_Credits[Class].empty())
      m_ReadyAgents[Class].emplace(Owner.m_Score, Owner.m_LastTake, Id);
}

} // namespace cyclamenwalk
