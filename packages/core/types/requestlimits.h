#ifndef CYCLAMENWALK_CORE_TYPES_REQUESTLIMITS_H
#define CYCLAMENWALK_CORE_TYPES_REQUESTLIMITS_H

#include "core/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cyclamenwalk {

/// Limits on the requests of clients. Zero times and rates are not limited.
struct RequestLimits {
  std::size_t m_MaxHeaderBytes = 16 * 1024;
  std::size_t m_MaxBodyBytes = 4 * 1024 * 1024;
  /// From the first byte of a header to its end.
  Duration m_HeaderTimeout{};
  /// Without a request on an open connection.
  Duration m_IdleTimeout{};
  /// Minimum of the mean rate at which a body arrives.
  std::uint64_t m_BodyBytesPerSecond = 0;
};

/// The limits that a configuration sets; those without a value are left to the
/// settings of each process.
struct ConfiguredLimits {
  std::optional<std::size_t> m_MaxHeaderBytes;
  std::optional<std::size_t> m_MaxBodyBytes;
  std::optional<Duration> m_HeaderTimeout;
  std::optional<Duration> m_IdleTimeout;
  bool operator==(const ConfiguredLimits &) const = default;
};

/// \p Limits with the values of \p Configured in place of its own.
inline RequestLimits combineLimits(RequestLimits Limits,
                                   const ConfiguredLimits &Configured) {
  Limits.m_MaxHeaderBytes =
      Configured.m_MaxHeaderBytes.value_or(Limits.m_MaxHeaderBytes);
  Limits.m_MaxBodyBytes =
      Configured.m_MaxBodyBytes.value_or(Limits.m_MaxBodyBytes);
  Limits.m_HeaderTimeout =
      Configured.m_HeaderTimeout.value_or(Limits.m_HeaderTimeout);
  Limits.m_IdleTimeout =
      Configured.m_IdleTimeout.value_or(Limits.m_IdleTimeout);
  return Limits;
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_REQUESTLIMITS_H
