#ifndef CYCLAMENWALK_EVACUATION_IEVACUATIONSTATE_H
#define CYCLAMENWALK_EVACUATION_IEVACUATIONSTATE_H

#include "evacuation/types/evacuation.h"

#include <functional>
#include <string_view>

namespace cyclamenwalk {

/// The evacuated failure domains as known to this process. Its version never
/// decreases.
class IEvacuationState {
public:
  using ChangeHook = std::function<void()>;

  virtual ~IEvacuationState() = default;

  /// Adopts \p Candidate if its version is higher than the current one. Returns
  /// false if it is not. \p Source is logged when the domains change.
  virtual bool adoptIfNewer(const Evacuation &Candidate,
                            std::string_view Source) = 0;

  virtual const Evacuation &current() const = 0;

  /// Adds a hook that is called after each change of the domains.
  virtual void subscribe(ChangeHook Hook) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_EVACUATION_IEVACUATIONSTATE_H
