#ifndef CYCLAMENWALK_CONFIGURATION_ICONFIGURATIONSTORE_H
#define CYCLAMENWALK_CONFIGURATION_ICONFIGURATIONSTORE_H

#include "configuration/types/desiredstate.h"

#include <functional>
#include <memory>

namespace cyclamenwalk {

/// The configuration in force in this process. Its version never decreases.
class IConfigurationStore {
public:
  using ChangeHook = std::function<void()>;

  virtual ~IConfigurationStore() = default;

  /// Puts a configuration in force if its version is higher than the current
  /// one. Returns false if it is not, or if the text is not valid.
  virtual bool activateIfNewer(std::uint64_t Version,
                               const std::string &Text) = 0;

  /// Returns zero until a configuration is in force.
  virtual std::uint64_t version() const = 0;
  virtual const DesiredState &state() const = 0;
  virtual const std::string &text() const = 0;

  /// Adds a hook that is called after each change.
  virtual void subscribe(ChangeHook Hook) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_ICONFIGURATIONSTORE_H
