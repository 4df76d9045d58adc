#ifndef CYCLAMENWALK_POLICY_ICREDITLEDGER_H
#define CYCLAMENWALK_POLICY_ICREDITLEDGER_H

#include "core/types/ids.h"
#include "message/types/messages.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace cyclamenwalk {

/// The input of a WorkerScore.
struct WorkerView {
  Incarnation m_Agent;
  /// Tasks that this entry has running on the worker.
  std::uint32_t m_InFlight = 0;
};

/// Ranks workers: credits of the worker with the lowest score are spent first.
using WorkerScore = std::function<double(const WorkerView &)>;

/// A credit and the agent that issued it.
struct AgentCredit {
  Incarnation m_Agent;
  CreditId m_Credit;
};

/// The credits of one service that this entry may spend.
class ICreditLedger {
public:
  virtual ~ICreditLedger() = default;

  virtual void add(Incarnation Agent, const Credit &Granted) = 0;
  virtual void withdraw(Incarnation Agent, CreditId Id) = 0;
  virtual void removeAgent(Incarnation Agent) = 0;

  /// Allows at most \p Limit tasks in flight on the agent's worker.
  virtual void setLimit(Incarnation Agent, std::uint32_t Limit) = 0;

  /// Whether a usable credit allows long tasks.
  virtual bool hasLongTaskCredit() const = 0;
  virtual bool hasCredit() const = 0;

  /// Removes a credit of the worker with the lowest score and counts a task in
  /// flight there. Short tasks use credits that allow long tasks only when no
  /// other credit is left.
  virtual std::optional<AgentCredit> take(bool IsLong) = 0;

  /// Counts one task less in flight on the agent's worker.
  virtual void taskEnded(Incarnation Agent) = 0;

  /// The number of unspent credits.
  virtual std::uint32_t unspentCredits() const = 0;
  virtual std::uint32_t inFlight() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_ICREDITLEDGER_H
