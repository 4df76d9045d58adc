#ifndef CYCLAMENWALK_BUDGET_TYPES_CHARGECLASS_H
#define CYCLAMENWALK_BUDGET_TYPES_CHARGECLASS_H

#include <cstddef>

namespace cyclamenwalk {

/// What memory of a budget is used for.
enum class ChargeClass : std::size_t {
  /// An open connection with its buffer for headers.
  Connection,
  /// A body of at most SmallBodyBytes that is being received.
  SmallBody,
  /// A larger body that is being received.
  LargeBody,
  /// A request in progress whose body was small: the body and what was decoded
  /// from it.
  SmallRequest,
  LargeRequest,
  /// A response that is being written.
  Answer,
  Count
};

/// Bodies of this size, in bytes, have a part of the budget that larger ones
/// can't use.
constexpr std::size_t SmallBodyBytes = 16 * 1024;

inline ChargeClass bodyClass(std::size_t Bytes) {
  return Bytes <= SmallBodyBytes ? ChargeClass::SmallBody
                                 : ChargeClass::LargeBody;
}

inline ChargeClass requestClass(std::size_t BodyBytes) {
  return BodyBytes <= SmallBodyBytes ? ChargeClass::SmallRequest
                                     : ChargeClass::LargeRequest;
}

/// The name of \p Class in metrics and in the log.
const char *toString(ChargeClass Class);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BUDGET_TYPES_CHARGECLASS_H
