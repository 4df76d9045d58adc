#ifndef CYCLAMENWALK_EVACUATION_TYPES_EVACUATION_H
#define CYCLAMENWALK_EVACUATION_TYPES_EVACUATION_H

#include <cstdint>
#include <set>
#include <string>

namespace cyclamenwalk {

/// The failure domains in which no task is started, on request of an operator.
struct Evacuation {
  /// The version of the store as of which m_Domains is exact; zero while
  /// nothing is known.
  std::uint64_t m_Version = 0;
  std::set<std::string> m_Domains;
  bool operator==(const Evacuation &) const = default;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_EVACUATION_TYPES_EVACUATION_H
