#include "forward/forwardmodule.h"

#include "forward/internal/forwardingservice.h"

namespace cyclamenwalk {

std::unique_ptr<IForwardingService>
makeForwardingService(Incarnation Entry, ForwardSettings Settings,
                      ForwardHooks Hooks, ForwardDependencies Dependencies) {
  return std::make_unique<ForwardingService>(Entry, std::move(Settings),
                                             std::move(Hooks), Dependencies);
}

} // namespace cyclamenwalk
