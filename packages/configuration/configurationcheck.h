#ifndef CYCLAMENWALK_CONFIGURATION_CONFIGURATIONCHECK_H
#define CYCLAMENWALK_CONFIGURATION_CONFIGURATIONCHECK_H

#include "configuration/types/desiredstate.h"
#include "core/types/resultcode.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwalk {

enum class Severity {
  /// Some requests are served worse than the configuration says.
  Warning,
  /// Some requests cannot be served.
  Error
};

/// Something in a configuration that is probably not intended.
struct Finding {
  ResultCode m_Code = ResultCode::Ok;
  Severity m_Severity = Severity::Error;
  /// "route NAME", "service NAME", "team NAME" or "limits"; empty when the
  /// finding concerns the whole file.
  std::string m_Subject;
  /// Counted from 1; zero when it is not known.
  int m_Line = 0;
  std::string m_Text;
};

/// What is known beside the configuration. Rules whose facts are missing find
/// nothing.
struct CheckFacts {
  /// Memory of the smallest process that receives requests, in bytes.
  std::optional<std::uint64_t> m_Memory;
  /// The services that backend servers serve now.
  std::optional<std::set<std::string>> m_ServedServices;
};

/// Looks for entries that have no effect and limits that contradict each
/// other in a configuration that can be decoded.
std::vector<Finding> checkConfiguration(const DesiredState &State,
                                        const CheckFacts &Facts);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_CONFIGURATIONCHECK_H
