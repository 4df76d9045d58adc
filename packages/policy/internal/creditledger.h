#ifndef CYCLAMENWALK_POLICY_INTERNAL_CREDITLEDGER_H
#define CYCLAMENWALK_POLICY_INTERNAL_CREDITLEDGER_H

#include "policy/icreditledger.h"
#include "policy/iworkerhealth.h"

#include <deque>
#include <set>
#include <tuple>
#include <unordered_map>

namespace cyclamenwalk {

/// Credits by agent, with the agents in the order of their score, so that a
/// choice is logarithmic in the number of agents.
class CreditLedger final : public ICreditLedger {
public:
  explicit CreditLedger(WorkerScore Score);

  void add(Incarnation Agent, const Credit &Granted) override;
  void withdraw(Incarnation Agent, CreditId Id) override;
  void removeAgent(Incarnation Agent) override;
  void setLimit(Incarnation Agent, std::uint32_t Limit) override;
  bool hasLong() const override;
  bool hasAny() const override;
  std::optional<AgentCredit> take(bool IsLong) override;
  void taskEnded(Incarnation Agent) override;
  std::uint32_t held() const override;
  std::uint32_t inFlight() const override;

private:
  /// Credits for short tasks only, and for any task.
  enum class Kind : std::size_t { ShortOnly, Any };
  static constexpr std::size_t KindCount = 2;

  struct Agent {
    std::deque<CreditId> m_Credits[KindCount];
    std::uint32_t m_InFlight = 0;
    std::uint32_t m_Limit = IWorkerHealth::NoLimit;
    double m_Score = 0;
    /// When it was last chosen, so that equal scores take turns.
    std::uint64_t m_Turn = 0;
  };
  using Ranked = std::tuple<double, std::uint64_t, Incarnation>;

  void unlist(Incarnation Id, const Agent &Known);
  void list(Incarnation Id, Agent &Known);

  const WorkerScore m_Score;
  std::unordered_map<Incarnation, Agent> m_Agents;
  std::set<Ranked> m_Ready[KindCount];
  std::uint64_t m_LastTurn = 0;
  std::uint32_t m_Held = 0;
  std::uint32_t m_InFlight = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_CREDITLEDGER_H
