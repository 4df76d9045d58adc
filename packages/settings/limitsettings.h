#ifndef CYCLAMENWALK_SETTINGS_LIMITSETTINGS_H
#define CYCLAMENWALK_SETTINGS_LIMITSETTINGS_H

#include "core/types/requestlimits.h"
#include "settings/inireader.h"

#include <cstdint>

namespace cyclamenwalk {

/// Section [limits] of a process: what it may use, and the limits on requests
/// until a configuration with limits is in force.
struct LimitSettings {
  std::uint64_t m_MemoryBytes = 512ULL * 1024 * 1024;
  std::uint32_t m_Descriptors = 4096;
  /// 0 for the number that follows from memory and descriptors.
  std::uint32_t m_MaxConnections = 0;
  RequestLimits m_Requests{16 * 1024, 4 * 1024 * 1024, seconds(10),
                           seconds(120), 1024};
};

/// Adds a problem to \p Reader for each value outside its range, and for
/// values that contradict each other.
LimitSettings readLimitSettings(IniReader &Reader);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_LIMITSETTINGS_H
