#include "budget/types/budgetplan.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Percentage of the memory for requests of clients. The rest holds the program
/// itself, its jobs and links, and what the allocator can't reuse.
constexpr std::uint64_t ClientMemoryPercent = 40;
constexpr std::uint64_t HundredPercent = 100;
/// Descriptors for files, and for links, outgoing calls and the other
/// listeners.
constexpr std::uint32_t FileDescriptors = 200;
constexpr std::uint32_t LinkDescriptors = 320;
/// Enough for a monitoring system and a few people.
constexpr std::uint32_t OperatorConnections = 32;
constexpr std::uint64_t OperatorBytes = 2 * 1024 * 1024;
constexpr std::uint32_t MinConnections = 8;
/// Connections get this part of the memory for clients.
constexpr std::uint64_t ConnectionDivisor = 2;

std::uint32_t connectionsWithin(const ProcessResources &Resources,
                                std::uint64_t ClientBytes) {
  std::uint32_t Reserved = FileDescriptors + LinkDescriptors;
  std::uint64_t Count = Resources.m_Descriptors > Reserved
                            ? Resources.m_Descriptors - Reserved
                            : 0;
  Count = std::min(Count,
                   ClientBytes / ConnectionDivisor /
                       std::max<std::size_t>(Resources.m_ConnectionBytes, 1));
  if (Resources.m_MaxConnections > 0)
    Count = std::min<std::uint64_t>(Count, Resources.m_MaxConnections);
  return static_cast<std::uint32_t>(
      std::max<std::uint64_t>(Count, MinConnections));
}

} // namespace

BudgetPlan planBudget(const ProcessResources &Resources) {
  BudgetPlan Plan;
  Plan.m_Clients.m_Bytes =
      Resources.m_MemoryBytes / HundredPercent * ClientMemoryPercent;
  Plan.m_Clients.m_Connections =
      connectionsWithin(Resources, Plan.m_Clients.m_Bytes);
  Plan.m_Operators = {OperatorBytes, OperatorConnections};
  return Plan;
}

} // namespace cyclamenwalk
