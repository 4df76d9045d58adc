#include "settings/limitsettings.h"

#include <algorithm>
#include <limits>

namespace cyclamenwalk {

namespace {

constexpr const char *Section = "limits";
constexpr std::uint64_t MegaByte = 1024 * 1024;
constexpr std::uint32_t MinMemoryMegaBytes = 64;
constexpr std::uint32_t MaxMemoryMegaBytes = 1024 * 1024;
/// Files, links and the listeners of operators need more than half of these.
constexpr std::uint32_t MinDescriptors = 640;
constexpr std::uint32_t MaxDescriptors = 1000000;
constexpr std::uint32_t MinConnections = 8;
constexpr std::uint64_t MinHeaderBytes = 1024;
constexpr std::uint64_t MaxHeaderBytes = MegaByte;
/// A body has to fit into the memory for requests while its buffer grows and
/// after it was decoded.
constexpr std::uint64_t MaxBodyPartOfMemory = 16;
constexpr std::uint32_t MaxBodyRate = 1024 * 1024;
constexpr Duration MinHeaderTimeout = milliseconds(100);

std::uint32_t readBytes(IniReader &Reader, const char *Key, std::size_t Default,
                        std::uint64_t Min, std::uint64_t Max) {
  return Reader.number(Section, Key, static_cast<std::uint32_t>(Default),
                       static_cast<std::uint32_t>(Min),
                       static_cast<std::uint32_t>(std::min<std::uint64_t>(
                           Max, std::numeric_limits<std::uint32_t>::max())));
}

void readRequestLimits(IniReader &Reader, std::uint64_t MemoryBytes,
                       RequestLimits &Limits) {
  Limits.m_MaxHeaderBytes =
      readBytes(Reader, "header_bytes", Limits.m_MaxHeaderBytes, MinHeaderBytes,
                MaxHeaderBytes);
  Limits.m_MaxBodyBytes = readBytes(Reader, "body_bytes", Limits.m_MaxBodyBytes,
                                    1, MemoryBytes / MaxBodyPartOfMemory);
  Limits.m_HeaderTimeout =
      Reader.duration(Section, "header_timeout", Limits.m_HeaderTimeout);
  Limits.m_IdleTimeout =
      Reader.duration(Section, "idle_timeout", Limits.m_IdleTimeout);
  if (Limits.m_HeaderTimeout < MinHeaderTimeout)
    Reader.addProblem(Section, "header_timeout", ResultCode::BadDuration,
                      "at least 100ms expected");
  if (Limits.m_IdleTimeout < Limits.m_HeaderTimeout)
    Reader.addProblem(Section, "idle_timeout", ResultCode::BadDuration,
                      "at least header_timeout expected");
  Limits.m_BodyBytesPerSecond = Reader.number(
      Section, "body_rate",
      static_cast<std::uint32_t>(Limits.m_BodyBytesPerSecond), 0, MaxBodyRate);
}

} // namespace

LimitSettings readLimitSettings(IniReader &Reader) {
  LimitSettings Settings;
  Settings.m_MemoryBytes =
      Reader.megabytes(Section, "memory_mb", Settings.m_MemoryBytes,
                       MinMemoryMegaBytes, MaxMemoryMegaBytes);
  Settings.m_Descriptors =
      Reader.number(Section, "descriptors", Settings.m_Descriptors,
                    MinDescriptors, MaxDescriptors);
  Settings.m_MaxConnections =
      Reader.number(Section, "max_connections", Settings.m_MaxConnections,
                    MinConnections, MaxDescriptors);
  readRequestLimits(Reader, Settings.m_MemoryBytes, Settings.m_Requests);
  return Settings;
}

} // namespace cyclamenwalk
