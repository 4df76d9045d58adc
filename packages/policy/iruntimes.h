#ifndef CYCLAMENWALK_POLICY_IRUNTIMES_H
#define CYCLAMENWALK_POLICY_IRUNTIMES_H

#include "core/types/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenwalk {

/// Statistics of measured run times by service and kind of task. Declared run
/// times are often wrong.
class IRunTimes {
public:
  virtual ~IRunTimes() = default;

  virtual void record(const std::string &Service, const std::string &Kind,
                      Duration RunTime) = 0;

  /// The mean run time, from which the work of several tasks is summed. Empty
  /// until enough tasks of the kind have ended.
  virtual std::optional<Duration> mean(const std::string &Service,
                                       const std::string &Kind) const = 0;

  /// The \p Quantile (0 to 1) of the run time. Empty until enough tasks of the
  /// kind have ended.
  virtual std::optional<Duration> quantile(const std::string &Service,
                                           const std::string &Kind,
                                           double Quantile) const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_IRUNTIMES_H
