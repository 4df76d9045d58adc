#ifndef CYCLAMENWALK_POLICY_ICREDITLEDGER_H
#define CYCLAMENWALK_POLICY_ICREDITLEDGER_H

#include "core/types/ids.h"
#include "message/types/messages.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace cyclamenwalk {

/// What the choice of a worker is decided on.
struct WorkerView {
  Incarnation m_Agent;
  /// Tasks that this entry has running there.
  std::uint32_t m_InFlight = 0;
};

/// The lower, the sooner a worker's credits are spent.
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

  /// No more than \p Limit tasks shall be in flight at the agent.
  virtual void setLimit(Incarnation Agent, std::uint32_t Limit) = 0;

  /// Whether a credit is there that a task of the long class may use.
  virtual bool hasLong() const = 0;
  virtual bool hasAny() const = 0;

  /// Takes the best credit out and counts a task in flight at its agent.
  /// Short tasks leave credits for long ones until last.
  virtual std::optional<AgentCredit> take(bool IsLong) = 0;

  /// A task in flight at the agent has ended.
  virtual void taskEnded(Incarnation Agent) = 0;

  virtual std::uint32_t held() const = 0;
  virtual std::uint32_t inFlight() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_ICREDITLEDGER_H
