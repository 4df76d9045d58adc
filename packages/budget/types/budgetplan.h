#ifndef CYCLAMENWALK_BUDGET_TYPES_BUDGETPLAN_H
#define CYCLAMENWALK_BUDGET_TYPES_BUDGETPLAN_H

#include <cstddef>
#include <cstdint>

namespace cyclamenwalk {

/// What a process may use, from its settings.
struct ProcessResources {
  std::uint64_t m_MemoryBytes = 0;
  std::uint32_t m_Descriptors = 0;
  /// Upper limit of connections of clients; 0 for the one that follows from
  /// memory and descriptors.
  std::uint32_t m_MaxConnections = 0;
  /// Memory of one connection, including its buffer for headers.
  std::size_t m_ConnectionBytes = 0;
};

/// What one listener may use.
struct ListenerShare {
  std::uint64_t m_Bytes = 0;
  std::uint32_t m_Connections = 0;
};

/// How memory and descriptors of a process are divided. The shares don't
/// overlap, so clients can't use those of readiness, metrics and links.
struct BudgetPlan {
  ListenerShare m_Clients;
  /// Readiness and metrics, each.
  ListenerShare m_Operators;
};

BudgetPlan planBudget(const ProcessResources &Resources);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BUDGET_TYPES_BUDGETPLAN_H
