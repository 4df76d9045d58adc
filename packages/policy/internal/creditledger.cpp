#include "policy/internal/creditledger.h"

#include <algorithm>

namespace cyclamenwalk {

CreditLedger::CreditLedger(WorkerScore Score) : m_Score(std::move(Score)) {}

void CreditLedger::add(Incarnation Id, const Credit &Granted) {
  Agent &Known = m_Agents[Id];
  unlist(Id, Known);
  Kind Which = Granted.m_AllowsLong ? Kind::Any : Kind::ShortOnly;
  Known.m_Credits[static_cast<std::size_t>(Which)].push_back(Granted.m_Id);
  ++m_Held;
  list(Id, Known);
}

void CreditLedger::withdraw(Incarnation Id, CreditId Gone) {
  auto Found = m_Agents.find(Id);
  if (Found == m_Agents.end())
    return;
  Agent &Known = Found->second;
  unlist(Id, Known);
  for (auto &Credits : Known.m_Credits)
    m_Held -= static_cast<std::uint32_t>(std::erase(Credits, Gone));
  list(Id, Known);
}

void CreditLedger::removeAgent(Incarnation Id) {
  auto Found = m_Agents.find(Id);
  if (Found == m_Agents.end())
    return;
  Agent &Known = Found->second;
  unlist(Id, Known);
  for (const auto &Credits : Known.m_Credits)
    m_Held -= static_cast<std::uint32_t>(Credits.size());
  m_InFlight -= Known.m_InFlight;
  m_Agents.erase(Found);
}

void CreditLedger::setLimit(Incarnation Id, std::uint32_t Limit) {
  auto Found = m_Agents.find(Id);
  if (Found == m_Agents.end())
    return;
  unlist(Id, Found->second);
  Found->second.m_Limit = Limit;
  list(Id, Found->second);
}

bool CreditLedger::hasLong() const {
  return !m_Ready[static_cast<std::size_t>(Kind::Any)].empty();
}

bool CreditLedger::hasAny() const {
  return hasLong() ||
         !m_Ready[static_cast<std::size_t>(Kind::ShortOnly)].empty();
}

std::optional<AgentCredit> CreditLedger::take(bool IsLong) {
  const auto &ShortOnly = m_Ready[static_cast<std::size_t>(Kind::ShortOnly)];
  Kind Which = IsLong || ShortOnly.empty() ? Kind::Any : Kind::ShortOnly;
  auto &Ready = m_Ready[static_cast<std::size_t>(Which)];
  if (Ready.empty())
    return std::nullopt;
  Incarnation Id = std::get<Incarnation>(*Ready.begin());
  Agent &Known = m_Agents.at(Id);
  unlist(Id, Known);
  auto &Credits = Known.m_Credits[static_cast<std::size_t>(Which)];
  // The oldest first: it is the likeliest to be asked back.
  AgentCredit Taken{Id, Credits.front()};
  Credits.pop_front();
  --m_Held;
  Known.m_Turn = ++m_LastTurn;
  ++Known.m_InFlight;
  ++m_InFlight;
  list(Id, Known);
  return Taken;
}

void CreditLedger::taskEnded(Incarnation Id) {
  auto Found = m_Agents.find(Id);
  if (Found == m_Agents.end() || Found->second.m_InFlight == 0)
    return;
  unlist(Id, Found->second);
  --Found->second.m_InFlight;
  --m_InFlight;
  list(Id, Found->second);
}

std::uint32_t CreditLedger::held() const { return m_Held; }

std::uint32_t CreditLedger::inFlight() const { return m_InFlight; }

void CreditLedger::unlist(Incarnation Id, const Agent &Known) {
  for (auto &Ready : m_Ready)
    Ready.erase(Ranked(Known.m_Score, Known.m_Turn, Id));
}

void CreditLedger::list(Incarnation Id, Agent &Known) {
  if (Known.m_InFlight >= Known.m_Limit)
    return;
  Known.m_Score = m_Score({Id, Known.m_InFlight});
  for (std::size_t Which = 0; Which < KindCount; ++Which)
    if (!Known.m_Credits[Which].empty())
      m_Ready[Which].emplace(Known.m_Score, Known.m_Turn, Id);
}

} // namespace cyclamenwalk
