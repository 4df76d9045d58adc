#ifndef CYCLAMENWALK_CORE_TYPES_RESOURCES_H
#define CYCLAMENWALK_CORE_TYPES_RESOURCES_H

#include <cstdint>

namespace cyclamenwalk {

/// Resources that a task requires while it runs, or that a worker offers.
struct Resources {
  /// Thousandths of a core.
  std::int64_t m_MilliCores = 0;
  std::int64_t m_MemoryMb = 0;
  std::int64_t m_Gpus = 0;

  bool operator==(const Resources &) const = default;

  Resources &operator+=(const Resources &Other) {
    m_MilliCores += Other.m_MilliCores;
    m_MemoryMb += Other.m_MemoryMb;
    m_Gpus += Other.m_Gpus;
    return *this;
  }

  Resources &operator-=(const Resources &Other) {
    m_MilliCores -= Other.m_MilliCores;
    m_MemoryMb -= Other.m_MemoryMb;
    m_Gpus -= Other.m_Gpus;
    return *this;
  }

  /// Returns whether \p Required fits into these resources.
  bool canFit(const Resources &Required) const {
    return Required.m_MilliCores <= m_MilliCores &&
           Required.m_MemoryMb <= m_MemoryMb && Required.m_Gpus <= m_Gpus;
  }
};

inline Resources operator+(Resources Left, const Resources &Right) {
  return Left += Right;
}

inline Resources operator-(Resources Left, const Resources &Right) {
  return Left -= Right;
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_RESOURCES_H
