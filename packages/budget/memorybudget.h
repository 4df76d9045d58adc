#ifndef CYCLAMENWALK_BUDGET_MEMORYBUDGET_H
#define CYCLAMENWALK_BUDGET_MEMORYBUDGET_H

#include "budget/types/chargeclass.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace cyclamenwalk {

/// Counts the memory that the requests of a listener use, by class, and refuses
/// what exceeds the limit. Each class has an upper limit for the sum of all
/// classes, so that the less important ones can't use up the memory for the
/// others: large bodies and their requests are accepted up to 8/16 of the
/// limit, connections up to 10/16, small bodies up to 12/16, their requests up
/// to 14/16, and answers use all of it. Thread-safe.
class MemoryBudget {
public:
  explicit MemoryBudget(std::uint64_t LimitBytes);

  /// Whether \p Bytes were charged; false if they exceed the limit of
  /// \p Class.
  bool tryAdd(ChargeClass Class, std::uint64_t Bytes);
  void release(ChargeClass Class, std::uint64_t Bytes);

  std::uint64_t limit() const { return m_Limit; }
  std::uint64_t limitOf(ChargeClass Class) const;
  std::uint64_t used() const { return m_Used; }
  std::uint64_t usedBy(ChargeClass Class) const;

private:
  static constexpr std::size_t ClassCount =
      static_cast<std::size_t>(ChargeClass::Count);

  const std::uint64_t m_Limit;
  std::atomic<std::uint64_t> m_Used = 0;
  std::array<std::atomic<std::uint64_t>, ClassCount> m_UsedByClass{};
};

/// Memory charged to a budget, which is released on destruction.
class Charge {
public:
  Charge() = default;
  Charge(Charge &&Other) noexcept
      : m_Budget(std::move(Other.m_Budget)), m_Class(Other.m_Class),
        m_Bytes(std::exchange(Other.m_Bytes, 0)) {}
  Charge &operator=(Charge &&Other) noexcept {
    reset();
    m_Budget = std::move(Other.m_Budget);
    m_Class = Other.m_Class;
    m_Bytes = std::exchange(Other.m_Bytes, 0);
    return *this;
  }
  ~Charge() { reset(); }

  /// Charges \p Bytes of \p Class instead of what is charged now. If they don't
  /// fit, returns false and changes nothing. Both are charged meanwhile if
  /// \p IsCopied, as when a buffer is moved to a larger one.
  bool tryReplace(const std::shared_ptr<MemoryBudget> &Budget,
                  ChargeClass Class, std::uint64_t Bytes,
                  bool IsCopied = false);

  void reset();

  std::uint64_t bytes() const { return m_Bytes; }

private:
  std::shared_ptr<MemoryBudget> m_Budget;
  ChargeClass m_Class = ChargeClass::Connection;
  std::uint64_t m_Bytes = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BUDGET_MEMORYBUDGET_H
