#include "budget/memorybudget.h"

namespace cyclamenwalk {

namespace {

/// Sixteenths of the limit up to which each class may fill the budget, in the
/// order of the values of ChargeClass. Clients of small requests need a
/// connection first, so connections are admitted beside large requests.
constexpr std::array<std::uint64_t,
                     static_cast<std::size_t>(ChargeClass::Count)>
    LimitParts{10, 12, 8, 14, 8, 16};
constexpr std::uint64_t Parts = 16;

constexpr std::size_t indexOf(ChargeClass Class) {
  return static_cast<std::size_t>(Class);
}

} // namespace

const char *toString(ChargeClass Class) {
  switch (Class) {
  case ChargeClass::Connection:
    return "connection";
  case ChargeClass::SmallBody:
    return "small_body";
  case ChargeClass::LargeBody:
    return "large_body";
  case ChargeClass::SmallRequest:
    return "small_request";
  case ChargeClass::LargeRequest:
    return "large_request";
  case ChargeClass::Answer:
    return "answer";
  case ChargeClass::Count:
    break;
  }
  return "unknown";
}

MemoryBudget::MemoryBudget(std::uint64_t LimitBytes) : m_Limit(LimitBytes) {}

std::uint64_t MemoryBudget::limitOf(ChargeClass Class) const {
  return m_Limit / Parts * LimitParts.at(indexOf(Class));
}

std::uint64_t MemoryBudget::usedBy(ChargeClass Class) const {
  return m_UsedByClass.at(indexOf(Class));
}

bool MemoryBudget::tryAdd(ChargeClass Class, std::uint64_t Bytes) {
  std::uint64_t Limit = limitOf(Class);
  std::uint64_t Used = m_Used;
  do {
    if (Bytes > Limit || Used > Limit - Bytes)
      return false;
  } while (!m_Used.compare_exchange_weak(Used, Used + Bytes));
  m_UsedByClass.at(indexOf(Class)) += Bytes;
  return true;
}

void MemoryBudget::release(ChargeClass Class, std::uint64_t Bytes) {
  m_UsedByClass.at(indexOf(Class)) -= Bytes;
  m_Used -= Bytes;
}

bool Charge::tryReplace(const std::shared_ptr<MemoryBudget> &Budget,
                        ChargeClass Class, std::uint64_t Bytes, bool IsCopied) {
  bool IsGrowth = m_Budget == Budget && m_Class == Class && !IsCopied;
  if (IsGrowth && Bytes <= m_Bytes) {
    Budget->release(Class, m_Bytes - Bytes);
    m_Bytes = Bytes;
    return true;
  }
  if (!Budget->tryAdd(Class, IsGrowth ? Bytes - m_Bytes : Bytes))
    return false;
  if (!IsGrowth)
    reset();
  m_Budget = Budget;
  m_Class = Class;
  m_Bytes = Bytes;
  return true;
}

void Charge::reset() {
  if (m_Budget && m_Bytes > 0)
    m_Budget->release(m_Class, m_Bytes);
  m_Bytes = 0;
}

} // namespace cyclamenwalk
