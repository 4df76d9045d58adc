#ifndef CYCLAMENWALK_CORE_TYPES_RESOURCES_H
#define CYCLAMENWALK_CORE_TYPES_RESOURCES_H

#include <cstdint>

namespace cyclamenwalk {

/// What a task needs while it runs, or what a worker has to give.
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

  /// Whether \p Need fits into this room.
  bool holds(const Resources &Need) const {
    return Need.m_MilliCores <= m_MilliCores && Need.m_MemoryMb <= m_MemoryMb &&
           Need.m_Gpus <= m_Gpus;
  }
};

inline Resources operator-(Resources Left, const Resources &Right) {
  return Left -= Right;
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_RESOURCES_H
