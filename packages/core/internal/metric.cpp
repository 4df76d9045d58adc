#include "core/types/metric.h"

namespace cyclamenwalk {

Metric jobMetricOf(ResultCode Code) {
  switch (outcomeOf(Code)) {
  case Outcome::Succeeded:
    return Metric::JobsSucceeded;
  case Outcome::DidNotRun:
    return Metric::JobsRefused;
  case Outcome::OutcomeUnknown:
    return Metric::JobsUnknown;
  default:
    return Metric::JobsFailed;
  }
}

} // namespace cyclamenwalk
