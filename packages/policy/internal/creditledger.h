#ifndef CYCLAMENWALK_POLICY_INTERNAL_CREDITLEDGER_H
#define CYCLAMENWALK_POLICY_INTERNAL_CREDITLEDGER_H

#include "policy/icreditledger.h"
#include "policy/iworkerhealth.h"

#include <deque>
#include <set>
#include <tuple>
#include <unordered_map>

namespace cyclamenwalk {

/// Keeps credits by agent, and agents with usable credits sorted by score, so
/// that taking a credit is logarithmic in the number of agents.
class CreditLedger final : public ICreditLedger {
public:
  explicit CreditLedger(WorkerScore Score);

  void add(Incarnation Agent, const Credit &Granted) override;
  void withdraw(Incarnation Agent, CreditId Id) override;
  void removeAgent(Incarnation Agent) override;
  void setLimit(Incarnation Agent, std::uint32_t Limit) override;
  bool hasLongTaskCredit() const override;
  bool hasCredit() const override;
  std::optional<AgentCredit> take(bool IsLong) override;
  void taskEnded(Incarnation Agent) override;
  std::uint32_t unspentCredits() const override;
  std::uint32_t inFlight() const override;

private:
  /// The tasks that a credit allows.
  enum class CreditClass : std::size_t { ShortOnly, Any };
  static constexpr std::size_t CreditClassCount = 2;

  struct Agent {
    std::deque<CreditId> m_Credits[CreditClassCount];
    std::uint32_t m_InFlight = 0;
    std::uint32_t m_Limit = IWorkerHealth::NoLimit;
    double m_Score = 0;
    /// The number of the last take() from it. Among agents of equal score the
    /// one with the lowest number is next.
    std::uint64_t m_LastTake = 0;
  };
  /// Score, number of the last take(), agent.
  using AgentRank = std::tuple<double, std::uint64_t, Incarnation>;

  void removeFromReady(Incarnation Id, const Agent &Owner);
  void addToReady(Incarnation Id, Agent &Owner);

  const WorkerScore m_Score;
  std::unordered_map<Incarnation, Agent> m_Agents;
  /// Agents below their limit that have a credit of the class.
  std::set<AgentRank> m_ReadyAgents[CreditClassCount];
  std::uint64_t m_TakeCount = 0;
  std::uint32_t m_UnspentCredits = 0;
  std::uint32_t m_InFlight = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_CREDITLEDGER_H
